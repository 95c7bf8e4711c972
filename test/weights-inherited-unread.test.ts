/** An agent that starts must read what its engine has loaded before it serves, however long that cannot be read, and must not close an engine for good where only a newer version is missing. */
import { test } from 'tap'
import type { EngineReport } from '../src/types/fleet.js'
import { OriginPort } from '../src/types/ports.js'
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

/** Has the digests of versions up to `newest`, and no chunks. */
class ManifestOrigin extends OriginPort {
  private readonly origin = new EveryVersionOrigin(chunkCount)

  constructor (private readonly newest: number) { super() }

  override async digests (address: string, model: string, wanted: number): Promise<readonly string[]> {
    if (wanted > this.newest) throw new Error('no answer')
    return await this.origin.digests(address, model, wanted)
  }

  override async chunk (): Promise<Buffer> { throw new Error('no answer') }
}

interface Case {
  readonly name: string
  readonly isBad: boolean
  /** Time of a load, and in which the engine does not answer after the first report, milliseconds. */
  readonly loadMilliseconds: number
  readonly unreachableMilliseconds: number
  readonly named: number
  readonly origin: OriginPort
  /** Milliseconds after which the engine must be open, or closed. */
  readonly milliseconds: number
  readonly isClosed: boolean
}

const whole = { isBad: false, loadMilliseconds: 100, unreachableMilliseconds: 0, named: version, origin: new EveryVersionOrigin(chunkCount), milliseconds: 3000, isClosed: false }
const bad = { ...whole, isBad: true, isClosed: true }

const cases: readonly Case[] = [
  { ...bad, name: 'a load that began before and waits long for running requests took a bad chunk', loadMilliseconds: 7000, milliseconds: 8000 },
  { ...bad, name: 'the engine took a bad chunk and does not answer for 6 s', unreachableMilliseconds: 6000, loadMilliseconds: 2000, milliseconds: 7500 },
  { ...whole, name: 'the chunks are right and a newer version is named whose chunks nobody has', named: version + 1, origin: new ManifestOrigin(version + 1) },
  { ...whole, name: 'the chunks are right and a newer version is named whose digests nobody has', named: version + 1, origin: new ManifestOrigin(version) },
  { ...whole, name: 'a newer version is named and nobody has any digests', named: version + 1, origin: new ManifestOrigin(0), milliseconds: 7000 }
]

for (const { name, isBad, loadMilliseconds, unreachableMilliseconds, named, origin, milliseconds, isClosed } of cases) {
  test(`inherited load: ${name}`, async t => {
    const engine = new UnreachableEngine(unreachableMilliseconds, loadMilliseconds)
    engine.holdStaged(version)
    if (isBad) engine.corrupt(badPosition, monotonicNow() - beforeTolerance)
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
    await node.start(engine, origin)
    await node.sendFor(milliseconds, subscriptionTo(named, chunkCount))
    const last = node.received.findLast(message => message.kind === 'load')
    t.equal(exposures, 0, 'entries are never told that a wrong load serves')
    t.equal(last?.isSwapping, isClosed, 'reported as closed in the end')
  })
}
