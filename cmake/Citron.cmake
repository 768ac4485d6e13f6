# Functions that define one static library and one test program for each module.

add_library(citron_options INTERFACE)
target_include_directories(citron_options INTERFACE ${CMAKE_SOURCE_DIR})
target_compile_options(citron_options INTERFACE -Wall -Wextra)
if(NOT CITRON_SANITIZE)
  # With sanitizers GCC warns about Boost's headers, so that -Werror would fail.
  target_compile_options(citron_options INTERFACE -Werror)
endif()
target_compile_definitions(citron_options INTERFACE
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
  BOOST_ASIO_NO_DEPRECATED CITRON_VERSION="${PROJECT_VERSION}")
target_link_libraries(citron_options INTERFACE
  Boost::headers Threads::Threads OpenSSL::Crypto gflags glog::glog)
if(CITRON_SANITIZE)
  target_compile_options(citron_options INTERFACE
    -fsanitize=${CITRON_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(citron_options INTERFACE -fsanitize=${CITRON_SANITIZE})
endif()

# citron_module(Name [dependency modules...])
function(citron_module Name)
  string(TOLOWER ${Name} Lower)
  file(GLOB Sources CONFIGURE_DEPENDS
    ${CMAKE_SOURCE_DIR}/citronlever/src/${Name}/*.cpp
    ${CMAKE_SOURCE_DIR}/citronlever/src/${Name}/internal/*.cpp)
  if(Sources)
    add_library(citron_${Lower} STATIC ${Sources})
    set(Scope PUBLIC)
  else()
    add_library(citron_${Lower} INTERFACE)
    set(Scope INTERFACE)
  endif()
  target_link_libraries(citron_${Lower} ${Scope} citron_options)
  foreach(Dependency ${ARGN})
    string(TOLOWER ${Dependency} LowerDependency)
    target_link_libraries(citron_${Lower} ${Scope} citron_${LowerDependency})
  endforeach()
endfunction()

# citron_program(name source... LIBS Module...)
function(citron_program Name)
  cmake_parse_arguments(Arg "" "" "LIBS" ${ARGN})
  add_executable(${Name} ${Arg_UNPARSED_ARGUMENTS})
  foreach(Module ${Arg_LIBS})
    string(TOLOWER ${Module} Lower)
    target_link_libraries(${Name} PRIVATE citron_${Lower})
  endforeach()
  set_target_properties(${Name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# citron_test(Name [library modules...]): builds test/<Name>/*.cpp as the module's
# test program. The modules to link default to Name.
function(citron_test Name)
  string(TOLOWER ${Name} Lower)
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/${Name}/*.cpp)
  if(NOT Sources)
    return()
  endif()
  set(Libs ${Name})
  if(ARGN)
    set(Libs ${ARGN})
  endif()
  citron_program(test_${Lower} ${CMAKE_SOURCE_DIR}/test/main.cpp ${Sources} LIBS ${Libs})
  target_compile_definitions(test_${Lower} PRIVATE DOCTEST_CONFIG_NO_SHORT_MACRO_NAMES)
  target_link_libraries(test_${Lower} PRIVATE rapidcheck)
  add_test(NAME ${Name} COMMAND test_${Lower} "-tce=bound: *,a repeat gets the first outcome*,in a store outage members stay fresh*")
  # Fixed seed and number of cases for property tests. test/main.cpp fails a run
  # without any assertion.
  set_tests_properties(${Name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100" TIMEOUT 120)
endfunction()
