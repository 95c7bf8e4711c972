/** An order without an answer may still be accepted: what it will take must not be replaced by another version. */
import { test } from 'tap'
import { writeLogs } from '../src/utils/log.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { EveryVersionOrigin, StagedEngine, subscriptionTo } from './fakes/staged-engine.js'
import { WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 12

const cases: readonly { readonly name: string, readonly acceptMilliseconds: readonly number[] }[] = [
  { name: 'the first is accepted after 2.5 s', acceptMilliseconds: [2500] },
  { name: 'all are accepted after 2.5 s', acceptMilliseconds: Array.from({ length: 20 }, () => 2500) },
  { name: 'the first is accepted after 4.3 s', acceptMilliseconds: [4300] },
  { name: 'all are accepted after 4.3 s', acceptMilliseconds: Array.from({ length: 20 }, () => 4300) },
  { name: 'all are accepted after 5.4 s', acceptMilliseconds: Array.from({ length: 20 }, () => 5400) }
]

for (const { name, acceptMilliseconds } of cases) {
  test(`late order: ${name}, and another version is named meanwhile`, async t => {
    const engine = new StagedEngine(chunkCount, { acceptMilliseconds })
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    await node.start(engine, new EveryVersionOrigin(chunkCount))
    const end = monotonicNow() + 10_000
    while (engine.received === 0 && monotonicNow() < end) await node.sendFor(100, subscriptionTo(2, chunkCount))
    await node.sendFor(16_000, subscriptionTo(3, chunkCount))
    await sleepUntil(monotonicNow() + 200)
    t.same(engine.accepted.flatMap(({ wrong }) => wrong), [], 'every load had its whole version')
    t.equal(engine.accepted.at(-1)?.version, 3, 'the engine has the newest version')
  })
}
