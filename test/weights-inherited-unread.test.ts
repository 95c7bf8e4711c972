/** An agent that starts must read what its engine has loaded before it serves, however long that cannot be read. */
import { test } from 'tap'
import type { EngineReport } from '../src/types/fleet.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { writeLogs } from '../src/utils/log.js'
import { EveryVersionOrigin, StagedEngine, subscriptionTo } from './fakes/staged-engine.js'
import { WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 12
const version = 2
const badPosition = 3
const beforeTolerance = 4000

/** Does not answer for a time after its first report. */
class UnreachableEngine extends StagedEngine {
  /** Milliseconds of the monotonic clock. */
  private unreachableUntil: number | undefined

  constructor (private readonly unreachableMilliseconds: number, loadMilliseconds: number) {
    super(chunkCount, { loadMilliseconds })
  }

  override async report (): Promise<EngineReport> {
    if (this.unreachableUntil === undefined) this.unreachableUntil = monotonicNow() + this.unreachableMilliseconds
    else if (monotonicNow() < this.unreachableUntil) throw new Error('no answer')
    return await super.report()
  }
}

interface Case {
  readonly name: string
  /** Time of a load, and in which the engine does not answer after the first report, milliseconds. */
  readonly loadMilliseconds: number
  readonly unreachableMilliseconds: number
  /** Milliseconds after which the engine must be closed, as it loads anew. */
  readonly milliseconds: number
}

const cases: readonly Case[] = [
  { name: 'a load that began before and waits long for running requests took a bad chunk', loadMilliseconds: 7000, unreachableMilliseconds: 0, milliseconds: 8000 },
  { name: 'the engine took a bad chunk and does not answer for 6 s', loadMilliseconds: 2000, unreachableMilliseconds: 6000, milliseconds: 7500 }
]

for (const { name, loadMilliseconds, unreachableMilliseconds, milliseconds } of cases) {
  test(`inherited load: ${name}`, async t => {
    const engine = new UnreachableEngine(unreachableMilliseconds, loadMilliseconds)
    engine.holdStaged(version)
    engine.corrupt(badPosition, monotonicNow() - beforeTolerance)
    engine.acceptOfOther(version, 0)
    if (loadMilliseconds < 5000) await sleepUntil(monotonicNow() + loadMilliseconds + 10)
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    let exposures = 0
    const watch = setInterval(() => {
      const last = node.received.at(-1)
      if (engine.isServingWrong && last?.kind === 'load' && last.version === version && last.orders === engine.accepted.length && !last.isSwapping) exposures += 1
    }, 10)
    t.teardown(() => { clearInterval(watch) })
    await node.start(engine, new EveryVersionOrigin(chunkCount))
    await node.sendFor(milliseconds, subscriptionTo(version, chunkCount))
    const last = node.received.findLast(message => message.kind === 'load')
    t.equal(exposures, 0, 'entries are never told that a wrong load serves')
    t.equal(last?.isSwapping, true, 'reported as closed in the end')
  })
}
