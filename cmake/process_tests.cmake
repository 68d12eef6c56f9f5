# Tests that start the built programs as separate processes on loopback addresses. Only one of them runs at a time,
# because their crowds of clients take much memory and many descriptors.
add_executable(basilspring_process_tests tests/process/hostile_clients.cc tests/process/hostile_clients_test.cc)
target_include_directories(basilspring_process_tests PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(basilspring_process_tests PRIVATE basilspring_core GTest::gtest_main)
target_compile_definitions(basilspring_process_tests PRIVATE BASILSPRING_BUILD_DIR="${CMAKE_BINARY_DIR}")
add_dependencies(basilspring_process_tests basilspring basilspring-standin)
gtest_discover_tests(basilspring_process_tests DISCOVERY_TIMEOUT 60 PROPERTIES RUN_SERIAL TRUE TIMEOUT 240)
