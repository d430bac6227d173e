# Helpers that give every library, program and test the same shape.

# arbutusgrade_add_library(NAME SOURCES a.cpp ... DEPENDS target ...)
# Defines arbutusgrade-NAME with its public header in include/ and private headers in src/.
function(arbutusgrade_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    set(target arbutusgrade-${name})
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC include PRIVATE src)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
    target_compile_options(${target} PRIVATE ${ARBUTUSGRADE_WARNINGS})
endfunction()

# arbutusgrade_add_program(NAME SOURCES a.cpp ... DEPENDS target ...)
function(arbutusgrade_add_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    target_compile_options(${name} PRIVATE ${ARBUTUSGRADE_WARNINGS})
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# arbutusgrade_add_test(NAME SOURCES a.cpp ... DEPENDS target ... [TIMEOUT seconds])
# One ctest entry for each GoogleTest binary; private headers of the library under test are visible.
function(arbutusgrade_add_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 60)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ../src)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gmock GTest::gtest_main)
    target_compile_options(${name} PRIVATE ${ARBUTUSGRADE_WARNINGS})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

# arbutusgrade_add_tests(DIRECTORY)
# Adds a directory of tests or benchmarks, unless the build is made without them.
macro(arbutusgrade_add_tests directory)
    if(BUILD_TESTING)
        add_subdirectory(${directory})
    endif()
endmacro()
