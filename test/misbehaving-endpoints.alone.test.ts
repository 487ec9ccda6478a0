import { chunked, plain, testEndless } from './support/endless-answers.js'

testEndless('127.234', [
  { name: 'an event without end', path: '/stream/x', head: plain, endless: 'x'.repeat(65_536) },
  { name: 'an event of short lines without end', path: '/stream/x', head: plain, endless: 'x\n'.repeat(32_768) },
  { name: 'a body of chunks without end', path: '/call/x', head: chunked, endless: `10000\r\n${'x'.repeat(65_536)}\r\n` },
  { name: 'a body without length or end', path: '/call/x', head: plain, endless: 'x'.repeat(65_536) },
  { name: 'a chunk extension without end', path: '/call/x', head: chunked, endless: `5;${'x'.repeat(65_536)}` },
  { name: 'a head without end', path: '/call/x', head: '', endless: `x-more: ${'x'.repeat(1000)}\r\n`.repeat(60) }
])
