// Runs every registered CppUnit test of one binary; with an argument, only the suite or test of
// that name. Closes with a line that tools/test adds up.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <string>

namespace {

/// The suite or test below `root` whose whole name is `name` or ends in `::name`; null when none.
CppUnit::Test* find_test(CppUnit::Test& root, const std::string& name) {
    if (root.getName() == name || root.getName().ends_with("::" + name))
        return &root;
    for (int i = 0; i < root.getChildTestCount(); ++i) {
        if (CppUnit::Test* found = find_test(*root.getChildTestAt(i), name))
            return found;
    }
    return nullptr;
}

} // namespace

int main(int argc, char** argv) {
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    CppUnit::Test* const chosen = argc > 1 ? find_test(*all, argv[1]) : all.get();
    if (!chosen) {
        std::cerr << "no suite or test is named " << argv[1] << '\n';
        return 2;
    }
    controller.runTest(chosen);

    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << "tests passed=" << collector.runTests() - failed << " failed=" << failed << '\n';
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}
