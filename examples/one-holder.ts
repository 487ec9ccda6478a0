/** Two boxes compete for one lease in virtual time; the holder stops, and the other takes over. Run: node dist/examples/one-holder.js */
import { LeaseTable, LeaseHolder, planLeaseTiming } from '../src/coordination/index.js'

const stepMs = 100
const createReading = (ms: number): { monotonic: number, wall: number } => ({ monotonic: ms, wall: ms })
// In a deployment, a replicated log drives this state machine.
const table = new LeaseTable()
const timing = planLeaseTiming(3000)
const boxes = ['box-1', 'box-2'].map(name => new LeaseHolder('reports', name, timing, createReading(0)))

for (let ms = 0; ms <= 8000; ms += stepMs) {
  for (const box of boxes) {
    // The first box stops after 3 s.
    if (box.self === 'box-1' && ms > 3000) continue
    box.observe(table.find('reports'), createReading(ms))
    const command = box.decide(createReading(ms), true)
    if (command !== null) box.noteResult(table.apply(command))
    const fence = box.findFence(createReading(ms), timing.callMs)
    if (fence !== null && ms % 1000 === 0) console.log(`${ms} ms: ${box.self} holds the lease with fencing token ${fence}`)
  }
}
