function(run)
  execute_process(COMMAND ${ARGV} RESULT_VARIABLE result OUTPUT_VARIABLE out ERROR_VARIABLE out)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "${ARGV}: ${out}")
  endif()
endfunction()

set(prefix ${BUILD}/consumer-prefix)
file(REMOVE_RECURSE ${prefix} ${BUILD}/consumer-build)
run(${CMAKE_COMMAND} --install ${BUILD} --prefix ${prefix})
run(${CMAKE_COMMAND} -S ${SOURCE} -B ${BUILD}/consumer-build -DCMAKE_PREFIX_PATH=${prefix}
  "-DCMAKE_CXX_FLAGS=${FLAGS}")
run(${CMAKE_COMMAND} --build ${BUILD}/consumer-build)
run(${BUILD}/consumer-build/relay_example)
