import { chunked, testEndless } from './support/endless-answers.js'

testEndless('127.230', [
  { name: 'an event in tiny chunks without end', path: '/stream/x', head: chunked, endless: '1\r\nx\r\n'.repeat(10_000) },
  { name: 'a body of tiny chunks without end', path: '/call/x', head: chunked, endless: '1\r\nx\r\n'.repeat(10_000) }
])
