# Flags that every target of the project shares. Generated protobuf code is built without warnings.
add_library(figwinch_flags INTERFACE)
target_include_directories(figwinch_flags INTERFACE
  $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>)
target_compile_options(figwinch_flags INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wnon-virtual-dtor -Werror)
if(FIGWINCH_SANITIZE)
  add_compile_options(-O1 -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

# figwinch_library(NAME SOURCES... [LINK LIBS...]) declares one library, alias figwinch::NAME.
function(figwinch_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_library(figwinch_${name} STATIC ${arg_SOURCES})
  add_library(figwinch::${name} ALIAS figwinch_${name})
  set_property(GLOBAL APPEND PROPERTY FIGWINCH_LIBRARIES figwinch_${name})
  set_target_properties(figwinch_${name} PROPERTIES EXPORT_NAME ${name})
  target_link_libraries(figwinch_${name} PRIVATE $<BUILD_INTERFACE:figwinch_flags> PUBLIC ${arg_LINK})
  target_include_directories(figwinch_${name}
    PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>
    PRIVATE ${PROJECT_SOURCE_DIR}/src)
endfunction()

# figwinch_program(NAME SOURCES... [LINK LIBS...]) declares one binary.
function(figwinch_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE figwinch_flags ${arg_LINK})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
endfunction()

# figwinch_test(NAME SOURCES... [LINK LIBS...] [SPLIT]) declares one CppUnit binary and its ctest
# entry; with SPLIT one entry for each of its tests, so that long ones run side by side.
# Tests register themselves; the shared main prints the counts that tools/test adds up.
function(figwinch_test name)
  cmake_parse_arguments(arg "SPLIT" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${PROJECT_SOURCE_DIR}/tests/main.cpp ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE figwinch_flags PkgConfig::CPPUNIT ${arg_LINK})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  if(NOT arg_SPLIT)
    add_test(NAME ${name} COMMAND ${name})
    return()
  endif()
  foreach(source ${arg_SOURCES})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
    file(STRINGS ${source} cases REGEX "CPPUNIT_TEST\\(")
    foreach(case ${cases})
      string(REGEX REPLACE ".*CPPUNIT_TEST\\(([a-z0-9_]+)\\).*" "\\1" case ${case})
      add_test(NAME ${name}.${case} COMMAND ${name} ${case})
    endforeach()
  endforeach()
endfunction()
