# Tests that are scripts. Each one is a ctest entry, so that the closing line of ctest counts it.
add_test(NAME events_catalogue COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-events.sh)
# Runs the whole deployment on fixed loopback addresses, so nothing else may run beside it. The time covers a wait
# for another deployment on the same machine.
add_test(NAME faults_ci COMMAND ${CMAKE_SOURCE_DIR}/scripts/faults.sh --seed 1 --list ci)
set_tests_properties(faults_ci PROPERTIES RUN_SERIAL TRUE TIMEOUT 300 ENVIRONMENT "BUILD_DIR=${CMAKE_BINARY_DIR}")
# Four searches at once.
add_test(NAME model_check COMMAND ${CMAKE_SOURCE_DIR}/scripts/model-check.sh)
set_tests_properties(model_check PROPERTIES PROCESSORS 4)
