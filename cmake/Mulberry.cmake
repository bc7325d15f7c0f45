# Warnings, definitions and include directories shared by all targets.
add_library(mulberry_options INTERFACE)
target_compile_options(mulberry_options INTERFACE -Wall -Wextra -Wshadow -Wzero-as-null-pointer-constant -Werror)
target_compile_definitions(mulberry_options INTERFACE ASIO_STANDALONE SPDLOG_FMT_EXTERNAL)
target_include_directories(mulberry_options INTERFACE ${PROJECT_SOURCE_DIR}/src)
if(MULBERRY_SANITIZE)
  target_compile_options(mulberry_options INTERFACE
    -fsanitize=${MULBERRY_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(mulberry_options INTERFACE -fsanitize=${MULBERRY_SANITIZE})
endif()

# mulberry_library(NAME DEPENDS...): a static library built from all .cc files in the current directory.
function(mulberry_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC mulberry_options ${ARGN})
endfunction()

# mulberry_program(NAME DEPENDS...): a program built from all .cc files in the current directory.
function(mulberry_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE mulberry_options ${ARGN})
endfunction()

# mulberry_test(SUBJECT DEPENDS...): a doctest program test_SUBJECT built from all .cc files in the directory SUBJECT;
# none if there are no such files.
function(mulberry_test subject)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${subject}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(test_${subject} ${sources} ${CMAKE_CURRENT_SOURCE_DIR}/main.cc)
  target_link_libraries(test_${subject} PRIVATE mulberry_options rapidcheck ${ARGN})
  target_compile_definitions(test_${subject} PRIVATE
    MULBERRY_SOURCE_DIR="${PROJECT_SOURCE_DIR}"
    MULBERRY_BINARY_DIR="${CMAKE_BINARY_DIR}/bin")
  add_test(NAME ${subject} COMMAND test_${subject})
endfunction()
