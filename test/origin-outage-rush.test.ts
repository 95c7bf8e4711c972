/** After an outage of the origin, agents whose delays have all passed meanwhile do not ask it for the same chunks at once. */
import { test } from 'tap'
import { ExchangeReplay, type ExchangeOptions, type ExchangeResult } from './fakes/exchange-replay.js'

/** Longest time that a packet may wait on a link: a poll, its answer and a record together must take less than a second. */
const maximumQueueMilliseconds = 300
/** How often a chunk may leave the origin on average, whose link carries four copies during a rollout. */
const maximumCopiesFromOrigin = 2
/** Factor by which a rollout may take longer from the end of an outage on than one without. */
const slowdown = 1.05
/** Time limit of a replay, milliseconds. */
const limitMilliseconds = 30_000

const sizes: readonly { readonly agentsPerDataCentre: number, readonly dataCentres: number, readonly linkBytesPerSecond: number }[] = [
  { agentsPerDataCentre: 2, dataCentres: 3, linkBytesPerSecond: 1_750_000 },
  { agentsPerDataCentre: 4, dataCentres: 3, linkBytesPerSecond: 1_840_000 },
  { agentsPerDataCentre: 8, dataCentres: 3, linkBytesPerSecond: 2_000_000 },
  { agentsPerDataCentre: 14, dataCentres: 3, linkBytesPerSecond: 2_000_000 },
  { agentsPerDataCentre: 18, dataCentres: 4, linkBytesPerSecond: 2_270_000 }
]

/** Outages, milliseconds from the naming of the weights. */
const outages: readonly (readonly [number, number])[] = [[0, 6000], [2200, 8300], [3500, 5000]]

for (const size of sizes) {
  const name = `${size.agentsPerDataCentre} agents in each of ${size.dataCentres} data centres`
  const undisturbed = play(size)
  for (const [from, to] of outages) {
    test(`origin outage rush: ${name}, away from ${from} to ${to} ms`, async t => {
      const result = play({ ...size, originAway: [from, to] })
      const [last, undisturbedLast] = [result.completeAt[2], undisturbed.completeAt[2]]
      t.ok(result.longestQueueMilliseconds <= maximumQueueMilliseconds, `a packet waited for ${result.longestQueueMilliseconds} ms, over 300 ms for ${result.slowMilliseconds} ms`)
      t.ok(result.copiesFromOrigin <= maximumCopiesFromOrigin, `${result.copiesFromOrigin.toFixed(2)} copies left the origin`)
      t.ok(last <= (from < undisturbedLast ? to : 0) + undisturbedLast * slowdown, `complete after ${result.completeAt.join(', ')} ms, without an outage ${undisturbed.completeAt.join(', ')} ms`)
    })
  }
  test(`origin outage rush: ${name}, no outage`, async t => {
    t.ok(undisturbed.longestQueueMilliseconds <= maximumQueueMilliseconds, `a packet waited for ${undisturbed.longestQueueMilliseconds} ms`)
    t.ok(undisturbed.copiesFromOrigin <= maximumCopiesFromOrigin, `${undisturbed.copiesFromOrigin.toFixed(2)} copies left the origin; complete after ${undisturbed.completeAt.join(', ')} ms`)
  })
}

function play (options: ExchangeOptions): ExchangeResult {
  return new ExchangeReplay(options).run(limitMilliseconds)
}
