# `cmake --install` puts the libraries, their public headers and the product's programs in place;
# other projects then find them with find_package(figwinch). Stand-ins and test tools stay here.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(figwinch_package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/figwinch)
get_property(figwinch_libraries GLOBAL PROPERTY FIGWINCH_LIBRARIES)
install(TARGETS figwinch_pb ${figwinch_libraries} EXPORT figwinch-targets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/figwinch DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(DIRECTORY src/pb/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/figwinch/pb
  FILES_MATCHING PATTERN "*.pb.h")
set(figwinch_programs figwinch-cell figwinch-entry figwinch-experiment figwinch-scheduler figwinchctl figwinch-load)
set(figwinch_standins
  figwinch-standin-platform figwinch-standin-executor figwinch-standin-worker)

# `ninja programs` builds all that tools/run_demo starts; programs.txt says where they are.
add_custom_target(programs)
set(figwinch_places "")
foreach(program ${figwinch_programs} ${figwinch_standins})
  if(TARGET ${program})
    add_dependencies(programs ${program})
    string(APPEND figwinch_places "${program} $<TARGET_FILE:${program}>\n")
  endif()
endforeach()
file(GENERATE OUTPUT ${PROJECT_BINARY_DIR}/programs.txt CONTENT "${figwinch_places}")
foreach(program ${figwinch_programs})
  if(TARGET ${program})
    install(TARGETS ${program} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endforeach()

install(EXPORT figwinch-targets NAMESPACE figwinch:: DESTINATION ${figwinch_package_dir})
configure_package_config_file(cmake/figwinch-config.cmake.in
  ${PROJECT_BINARY_DIR}/figwinch-config.cmake INSTALL_DESTINATION ${figwinch_package_dir})
write_basic_package_version_file(${PROJECT_BINARY_DIR}/figwinch-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${PROJECT_BINARY_DIR}/figwinch-config.cmake
  ${PROJECT_BINARY_DIR}/figwinch-config-version.cmake
  cmake/dependencies.cmake
  DESTINATION ${figwinch_package_dir})
