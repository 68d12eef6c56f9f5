# Tests that are shell scripts. Each one is a ctest entry, so that the summary of ctest counts it.
add_test(NAME events_catalogue COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-events.sh)
# Runs the whole deployment on fixed loopback addresses, so no other test may run at the same time. The timeout covers
# a wait for another deployment on the same machine to end.
add_test(NAME faults_ci COMMAND ${CMAKE_SOURCE_DIR}/scripts/faults.sh --seed 1 --list ci)
set_tests_properties(faults_ci PROPERTIES RUN_SERIAL TRUE TIMEOUT 300 ENVIRONMENT "BUILD_DIR=${CMAKE_BINARY_DIR}")
# The script runs four searches in parallel.
add_test(NAME model_check COMMAND ${CMAKE_SOURCE_DIR}/scripts/model-check.sh)
set_tests_properties(model_check PROPERTIES PROCESSORS 4)
# Runs entries and agents against the platform's stand-ins, as separate processes on loopback addresses of their own.
add_test(NAME platform_path COMMAND ${CMAKE_SOURCE_DIR}/scripts/platform-path.sh)
set_tests_properties(platform_path PROPERTIES RUN_SERIAL TRUE TIMEOUT 180 ENVIRONMENT "BUILD_DIR=${CMAKE_BINARY_DIR}")
# Runs entries that are suspended, killed and cut off from the store while callers cancel jobs.
add_test(NAME cancel_cases COMMAND ${CMAKE_SOURCE_DIR}/scripts/cancel-cases.sh)
set_tests_properties(cancel_cases PROPERTIES RUN_SERIAL TRUE TIMEOUT 180 ENVIRONMENT "BUILD_DIR=${CMAKE_BINARY_DIR}")
# Checks that the platform's names are used only in platform/, so that the product does not depend on them.
add_test(NAME platform_names COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-platform-names.sh)
# The soak test with faults: one short run of each of four sets of faults, and the seeds that have failed before.
add_test(NAME soak_ci COMMAND ${CMAKE_SOURCE_DIR}/scripts/soak.sh --seed 1 --seconds 20)
add_test(NAME soak_servers_ci COMMAND ${CMAKE_SOURCE_DIR}/scripts/soak.sh --seed 3 --seconds 20 --faults servers)
add_test(NAME soak_store_ci COMMAND ${CMAKE_SOURCE_DIR}/scripts/soak.sh --seed 3907 --seconds 5 --faults store)
add_test(NAME soak_refusals_ci COMMAND ${CMAKE_SOURCE_DIR}/scripts/soak.sh --seed 4901 --seconds 10 --faults refusals)
add_test(NAME soak_kept_seeds COMMAND ${CMAKE_SOURCE_DIR}/scripts/soak.sh --kept)
set_tests_properties(soak_ci soak_servers_ci soak_store_ci soak_refusals_ci soak_kept_seeds PROPERTIES RUN_SERIAL TRUE TIMEOUT 240 ENVIRONMENT
                     "BUILD_DIR=${CMAKE_BINARY_DIR}")
