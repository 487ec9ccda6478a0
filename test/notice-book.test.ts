import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { NoticeBook, NoticeTeller, NoticeUplink, brandId } from '../src/core/index.js'
import type { BoxId, EndpointId, EndpointNotice } from '../src/core/index.js'

const box = brandId<BoxId>('box')
const drawNotice = fc.record({
  endpoint: fc.constantFrom(brandId<EndpointId>('e1'), brandId<EndpointId>('e2')),
  born: fc.constantFrom(0, 5, 9),
  stamp: fc.integer({ min: 1, max: 4 }),
  perSecond: fc.constantFrom(null, 0.2, 3, 20),
  isLeaving: fc.boolean()
})

function sort (book: NoticeBook): EndpointNotice[] {
  return book.notices.sort((a, b) => a.endpoint < b.endpoint ? -1 : 1)
}

test('boxes that heard the same notices hold the same, in whatever order and however often they came', () => {
  fc.assert(fc.property(fc.array(drawNotice, { maxLength: 12 }), fc.array(fc.nat(), { maxLength: 24 }), (notices, order) => {
    const [once, mixed] = [new NoticeBook(), new NoticeBook()]
    for (const notice of notices) once.merge([{ ...notice }], 0, box)
    const again = notices.length === 0 ? [] : order.map(i => notices[i % notices.length])
    mixed.merge([...again, ...notices.slice().reverse()].map(notice => ({ ...notice })), 0, box)
    assert.deepEqual(sort(mixed), sort(once))
  }), { numRuns: 500 })
})

interface NoticeCase {
  readonly name: string
  /** What an answer of `e1`, life 5, says after a limit of 3 was told. */
  readonly said: { readonly born?: number, readonly limit?: number | null, readonly isLeaving?: boolean }
  readonly expected: Partial<EndpointNotice> | null
}

const cases: readonly NoticeCase[] = [
  { name: 'the same limit', said: { limit: 3 }, expected: null },
  { name: 'another limit', said: { limit: 1 }, expected: { stamp: 8, perSecond: 1 } },
  { name: 'none any more', said: { limit: null }, expected: { stamp: 8, perSecond: null } },
  { name: 'nothing that can be read', said: {}, expected: null },
  { name: 'that it leaves', said: { limit: 3, isLeaving: true }, expected: { stamp: 8, perSecond: 3, isLeaving: true } },
  { name: 'no limit, in a later life', said: { born: 9, limit: null }, expected: null },
  { name: 'a limit, in a later life', said: { born: 9, limit: 2 }, expected: { born: 9, stamp: 8, perSecond: 2 } },
  { name: 'something, in an earlier life', said: { born: 1, limit: 9 }, expected: null }
]

for (const { name, said, expected } of cases) {
  test(`after a limit of 3, an answer that says ${name} ${expected === null ? 'is no news' : 'is news'}`, () => {
    const book = new NoticeBook()
    const endpoint = brandId<EndpointId>('e1')
    book.merge([{ endpoint, born: 5, stamp: 7, perSecond: 3, isLeaving: false }], 0, box)
    const news = book.note({ endpoint, born: said.born ?? 5, limit: said.limit, isLeaving: said.isLeaving ?? false }, 1)
    if (expected === null) assert.equal(news, null)
    else assert.deepEqual({ ...news, ...expected }, news)
  })
}

test('a notice is told until the hub tells it back, and by the hub in the words that follow and twice a second', () => {
  const book = new NoticeBook()
  const [uplink, teller] = [new NoticeUplink(book), new NoticeTeller(book)]
  const notice = book.note({ endpoint: brandId('e1'), born: 5, limit: 2, isLeaving: false }, 0) as EndpointNotice
  uplink.note(notice)
  teller.draw(0)
  teller.note(notice, 0)
  assert.deepEqual([uplink.list().length, uplink.list().length], [1, 1])
  uplink.confirm([{ ...notice, stamp: 0 }])
  assert.equal(uplink.list().length, 1)
  uplink.confirm([notice])
  assert.equal(uplink.list().length, 0)
  assert.deepEqual([10, 200, 210, 400, 500, 510].map(at => teller.draw(at).length), [1, 1, 0, 0, 1, 0])
  uplink.reset()
  assert.equal(uplink.list().length, 1)
})
