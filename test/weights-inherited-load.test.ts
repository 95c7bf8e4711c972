/** An agent that starts must not take what its engine has loaded before for whole, unless an entry knows that an earlier process vouched for it. */
import { test } from 'tap'
import { OriginPort } from '../src/types/ports.js'
import type { VouchedLoad } from '../src/types/fleet.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { writeLogs } from '../src/utils/log.js'
import { EveryVersionOrigin, StagedEngine, subscriptionTo } from './fakes/staged-engine.js'
import { WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 12
const version = 2
const badPosition = 3
const beforeTolerance = 4000
const loaded: VouchedLoad = { startedAt: 1, orders: 1, version }

class FailedOrigin extends OriginPort {
  async digests (): Promise<readonly string[]> { throw new Error('no origin') }

  async chunk (): Promise<Buffer> { throw new Error('no origin') }
}

/** When a staged chunk turned bad. */
type Corruption = 'never' | 'before the load' | 'after the load'

interface Case {
  readonly name: string
  readonly corruption: Corruption
  /** What an entry tells, each for that time in milliseconds. */
  readonly told: readonly { readonly vouched: VouchedLoad | undefined, readonly milliseconds: number }[]
  readonly hasOrigin?: false
  /** Loads that the engine has accepted in the end. */
  readonly loads: 1 | 2
  /** Whether the engine is reported as closed at some time. */
  readonly isClosed: boolean
}

const cases: readonly Case[] = [
  { name: 'an entry vouches, and a chunk has turned bad since', corruption: 'after the load', told: [{ vouched: loaded, milliseconds: 2500 }], loads: 1, isClosed: false },
  { name: 'an entry that vouches subscribes after one that started later, and a chunk has turned bad since', corruption: 'after the load', told: [{ vouched: undefined, milliseconds: 800 }, { vouched: loaded, milliseconds: 2500 }], loads: 1, isClosed: true },
  { name: 'nobody vouches, and the chunks are right', corruption: 'never', told: [{ vouched: undefined, milliseconds: 2500 }], loads: 1, isClosed: true },
  { name: 'nobody vouches, and a chunk was bad', corruption: 'before the load', told: [{ vouched: undefined, milliseconds: 4000 }], loads: 2, isClosed: true },
  { name: 'an entry vouches for an earlier load, and a chunk was bad', corruption: 'before the load', told: [{ vouched: { ...loaded, orders: 0 }, milliseconds: 4000 }], loads: 2, isClosed: true },
  { name: 'an entry vouches for a load of an earlier start, and a chunk was bad', corruption: 'before the load', told: [{ vouched: { ...loaded, startedAt: 0.5 }, milliseconds: 4000 }], loads: 2, isClosed: true },
  { name: 'an entry vouches for a load of another version, and a chunk was bad', corruption: 'before the load', told: [{ vouched: { ...loaded, version: 1 }, milliseconds: 4000 }], loads: 2, isClosed: true },
  { name: 'nobody vouches, and nobody has the digests', corruption: 'never', told: [{ vouched: undefined, milliseconds: 7000 }], hasOrigin: false, loads: 1, isClosed: true }
]

for (const { name, corruption, told, hasOrigin, loads, isClosed } of cases) {
  test(`inherited load: ${name}`, async t => {
    const engine = new StagedEngine(chunkCount)
    engine.holdStaged(version)
    if (corruption === 'before the load') engine.corrupt(badPosition, monotonicNow() - beforeTolerance)
    engine.acceptOfOther(version, 0)
    if (corruption === 'after the load') engine.corrupt(badPosition)
    while ((await engine.report()).isSwapping) await sleepUntil(monotonicNow() + 10)
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    let exposures = 0
    const watch = setInterval(() => {
      const last = node.received.at(-1)
      if (engine.isServingWrong && last?.kind === 'load' && last.version === version && last.orders === engine.accepted.length && !last.isSwapping) exposures += 1
    }, 10)
    t.teardown(() => { clearInterval(watch) })
    await node.start(engine, hasOrigin === false ? new FailedOrigin() : new EveryVersionOrigin(chunkCount))
    for (const { vouched, milliseconds } of told) await node.sendFor(milliseconds, subscriptionTo(version, chunkCount, vouched))
    const reports = node.received.filter(message => message.kind === 'load')
    t.equal(exposures, 0, 'entries are never told that a wrong load serves')
    t.equal(engine.accepted.length, loads, 'loads')
    t.equal(reports.some(report => report.isSwapping), isClosed, 'reported as closed')
    t.equal(reports.at(-1)?.isSwapping, false, 'serves in the end')
    t.equal(reports.at(-1)?.version, version, 'serves the named version')
  })
}
