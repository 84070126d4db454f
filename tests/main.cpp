// Runs every registered CppUnit test of one binary; with an argument, only the suite or test of
// that name. Closes with a line that tools/test adds up.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int argc, char** argv) {
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    const std::string only = argc > 1 ? argv[1] : "";
    runner.run(controller, only);

    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << "tests passed=" << collector.runTests() - failed << " failed=" << failed << '\n';
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
