/** How a follower of records reads next: one at a time while records are large, the newest of each key when behind them. */
import { test } from 'tap'
import { nextRead, readAfterNewest, type NextRead, type ReadProgress } from '../src/core/record-reads.js'

const small = 300
const large = 250_000

const cases: readonly { readonly name: string, readonly progress: ReadProgress, readonly expected: NextRead }[] = [
  { name: 'nothing more, small records', progress: { unread: 0, limit: 1024, largestRead: small, largestHeld: small }, expected: { kind: 'records', limit: 1024, isDue: false } },
  { name: 'nothing more, a large record', progress: { unread: 0, limit: 1, largestRead: large, largestHeld: large }, expected: { kind: 'records', limit: 1, isDue: false } },
  { name: 'nothing more, small records beside a large one', progress: { unread: 0, limit: 8, largestRead: small, largestHeld: large }, expected: { kind: 'records', limit: 1, isDue: false } },
  { name: 'many more, small records', progress: { unread: 4000, limit: 1024, largestRead: small, largestHeld: small }, expected: { kind: 'records', limit: 1024, isDue: true } },
  { name: 'more, small records beside a large one', progress: { unread: 5, limit: 1, largestRead: small, largestHeld: large }, expected: { kind: 'records', limit: 2, isDue: true } },
  { name: 'still more, small records beside a large one', progress: { unread: 5, limit: 800, largestRead: small, largestHeld: large }, expected: { kind: 'records', limit: 1024, isDue: true } },
  { name: 'one more after a large record', progress: { unread: 1, limit: 1, largestRead: large, largestHeld: large }, expected: { kind: 'records', limit: 1, isDue: true } },
  { name: 'more after a large record', progress: { unread: 2, limit: 1, largestRead: large, largestHeld: large }, expected: { kind: 'newest', isDue: true } },
  { name: 'more after a batch with a large record', progress: { unread: 24, limit: 16, largestRead: large, largestHeld: large }, expected: { kind: 'newest', isDue: true } },
  { name: 'more after a large record that has been superseded by a small one', progress: { unread: 24, limit: 16, largestRead: large, largestHeld: small }, expected: { kind: 'newest', isDue: true } }
]

for (const { name, progress, expected } of cases) {
  test(`next read of records: ${name}`, async t => { t.same(nextRead(progress), expected) })
}

test('next read of records: after the newest of each key', async t => {
  t.same(readAfterNewest(0), { kind: 'records', limit: 1024, isDue: false })
  t.same(readAfterNewest(large), { kind: 'records', limit: 1, isDue: false })
})
