/** Two boxes and one duty, in virtual time: one acts, is silent, and the other takes over. Run: node dist/examples/one-holder.js */
import { LeaseBook, LeaseHolder, planLeaseTiming } from '../src/coordination/index.js'

const stepMs = 100
const createReading = (ms: number): { steady: number, wall: number } => ({ steady: ms, wall: ms })
// Stands for the state machine that a replicated log drives.
const book = new LeaseBook()
const timing = planLeaseTiming(3000)
const boxes = ['box-1', 'box-2'].map(name => new LeaseHolder('reports', name, timing, createReading(0)))

for (let ms = 0; ms <= 8000; ms += stepMs) {
  for (const box of boxes) {
    // The first box is gone after 3 s.
    if (box.self === 'box-1' && ms > 3000) continue
    box.observe(book.find('reports'), createReading(ms))
    const command = box.decide(createReading(ms), true)
    if (command !== null) box.noteEnd(book.apply(command))
    const fence = box.findFence(createReading(ms), timing.callMs)
    if (fence !== null && ms % 1000 === 0) console.log(`${ms} ms: ${box.self} acts under ${fence}`)
  }
}
