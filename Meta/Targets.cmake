# Compiler settings and short functions that every directory uses to declare its targets.

add_library(jujube_warnings INTERFACE)
target_compile_options(jujube_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
if(JUJUBE_WARNINGS_AS_ERRORS)
    target_compile_options(jujube_warnings INTERFACE -Werror)
endif()

# Declares a static library from all sources in the current directory.
# Usage: jujube_library(LibCore LINK absl::status ...)
function(jujube_library NAME)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${NAME} STATIC ${SOURCES})
    target_link_libraries(${NAME} PRIVATE jujube_warnings)
    target_link_libraries(${NAME} PUBLIC ${ARG_LINK})
endfunction()

# Declares a program from all sources in the current directory.
function(jujube_program NAME)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${NAME} ${SOURCES})
    target_link_libraries(${NAME} PRIVATE jujube_warnings ${ARG_LINK})
    target_compile_definitions(${NAME} PRIVATE JUJUBE_VERSION="${PROJECT_VERSION}")
endfunction()

# Declares a GoogleTest program from all sources in the current directory and registers each of its tests.
function(jujube_test NAME)
    cmake_parse_arguments(ARG "" "TIMEOUT" "LINK" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${NAME} ${SOURCES})
    target_link_libraries(${NAME} PRIVATE jujube_warnings ${ARG_LINK} GTest::gmock GTest::gtest GTest::gtest_main rapidcheck)
    target_compile_definitions(${NAME} PRIVATE JUJUBE_BINARY_DIRECTORY="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}" JUJUBE_SOURCE_DIRECTORY="${CMAKE_SOURCE_DIR}")
    gtest_discover_tests(${NAME} DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
