# Tests that are scripts. Each one is a ctest entry, so that the closing line of ctest counts it.
add_test(NAME events_catalogue COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-events.sh)
# Four searches at once.
add_test(NAME model_check COMMAND ${CMAKE_SOURCE_DIR}/scripts/model-check.sh)
set_tests_properties(model_check PROPERTIES PROCESSORS 4)
