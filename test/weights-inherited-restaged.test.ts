/** What was staged after a load tells nothing of the load: an agent that starts must neither serve a wrong one because its chunks were repaired since, nor close a right one for good because a newer version was staged since. */
import { test } from 'tap'
import { OriginPort } from '../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { writeLogs } from '../src/utils/log.js'
import { chunkOf, EveryVersionOrigin, StagedEngine, subscriptionTo } from './fakes/staged-engine.js'
import { model, WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 12
const version = 2
const badPosition = 3
const beforeTolerance = 4000
const milliseconds = 4000

class ManifestOrigin extends EveryVersionOrigin {
  override async chunk (): Promise<Buffer> { throw new Error('no answer') }
}

interface Case {
  readonly name: string
  readonly isBad: boolean
  /** Version of which the process before staged a chunk after the load. */
  readonly staged: number
  readonly origin: OriginPort
}

const cases: readonly Case[] = [
  { name: 'a bad chunk was taken, and repaired by a process that ended before it learned of the load', isBad: true, staged: version, origin: new EveryVersionOrigin(chunkCount) },
  { name: 'it is whole, a chunk of the next version was staged since, and nobody has the others', isBad: false, staged: version + 1, origin: new ManifestOrigin(chunkCount) }
]

for (const { name, isBad, staged, origin } of cases) {
  test(`inherited load: ${name}`, async t => {
    const engine = new StagedEngine(chunkCount)
    engine.holdStaged(version)
    if (isBad) engine.corrupt(badPosition, monotonicNow() - beforeTolerance)
    engine.acceptOfOther(version, 0)
    await engine.stage(model, badPosition, chunkOf(staged, badPosition))
    while ((await engine.report()).isSwapping) await sleepUntil(monotonicNow() + 10)
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    let exposures = 0
    const watch = setInterval(() => {
      const last = node.received.at(-1)
      if (engine.isServingWrong && last?.kind === 'load' && last.orders === engine.accepted.length && !last.isSwapping) exposures += 1
    }, 10)
    t.teardown(() => { clearInterval(watch) })
    await node.start(engine, origin)
    await node.sendFor(milliseconds, subscriptionTo(Math.max(staged, version), chunkCount))
    t.equal(exposures, 0, 'entries are never told that a wrong load serves')
    t.equal(node.received.findLast(message => message.kind === 'load')?.isSwapping, false, 'serves in the end')
  })
}
