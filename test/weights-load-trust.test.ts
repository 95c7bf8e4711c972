/** Loads that no check vouches for must not count as whole. */
import { test } from 'tap'
import { isRecentForOrder, isSettledBy, judgeLoad, type AcceptanceTime, type ChunkChecks } from '../src/core/weights/load-trust.js'

const accepted = { after: 10_000, by: 10_100 }

const loads: readonly { readonly name: string, readonly checks: ChunkChecks, readonly accepted?: AcceptanceTime, readonly verdict: string }[] = [
  { name: 'that was checked a second before', checks: { oldestAt: 9000, lapsedUntil: 0, mayBeReplaced: false }, verdict: 'whole' },
  { name: 'that was checked as long before as a chunk may be wrong', checks: { oldestAt: 7100, lapsedUntil: 0, mayBeReplaced: false }, verdict: 'whole' },
  { name: 'that was checked longer before', checks: { oldestAt: 7099, lapsedUntil: 0, mayBeReplaced: false }, verdict: 'unchecked' },
  { name: 'that was not checked', checks: { oldestAt: 0, lapsedUntil: 0, mayBeReplaced: false }, verdict: 'unchecked' },
  { name: 'that was repaired after a lapse, before it was accepted', checks: { oldestAt: 9900, lapsedUntil: 9800, mayBeReplaced: false }, verdict: 'whole' },
  { name: 'that may have been accepted within a lapse', checks: { oldestAt: 10_090, lapsedUntil: 10_050, mayBeReplaced: false }, verdict: 'doubtful' },
  { name: 'that was checked after it was accepted', checks: { oldestAt: 10_200, lapsedUntil: 0, mayBeReplaced: false }, verdict: 'whole' },
  { name: 'beside a call to stage a chunk that was not answered', checks: { oldestAt: 9900, lapsedUntil: 0, mayBeReplaced: true }, verdict: 'unchecked' },
  { name: 'of which it is known late that it was accepted', checks: { oldestAt: 9000, lapsedUntil: 0, mayBeReplaced: false }, accepted: { after: 9000, by: 13_000 }, verdict: 'unchecked' }
]

for (const { name, checks, accepted: time = accepted, verdict } of loads) {
  test(`load trust: a load ${name} is ${verdict}`, async t => {
    t.equal(judgeLoad(checks, time), verdict)
  })
}

test('load trust: an order needs checks of the last 1.5 s', async t => {
  t.equal(isRecentForOrder(8500, 10_000), true)
  t.equal(isRecentForOrder(8499, 10_000), false)
})

const order = { model: 'weights-a', version: 2, startedAt: 5, ordersBefore: 3 }
const reports: readonly { readonly name: string, readonly startedAt: number, readonly orders: number, readonly isSettled: boolean }[] = [
  { name: 'the count of orders as before', startedAt: 5, orders: 3, isSettled: false },
  { name: 'one order more', startedAt: 5, orders: 4, isSettled: true },
  { name: 'an older count', startedAt: 5, orders: 2, isSettled: false },
  { name: 'a restart', startedAt: 6, orders: 0, isSettled: true }
]

for (const { name, startedAt, orders, isSettled } of reports) {
  test(`load trust: an order without an answer and ${name}`, async t => {
    t.equal(isSettledBy(order, { startedAt, orders, isSwapping: false, running: 0, waiting: 0, weights: undefined }), isSettled)
  })
}
