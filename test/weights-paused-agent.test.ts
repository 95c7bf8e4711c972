/** A pause of the agent between any two of its steps must not let callers get tokens of wrong weights, nor keep the engine closed. */
import { test } from 'tap'
import { writeLogs } from '../src/utils/log.js'
import { EveryVersionOrigin, StagedEngine, subscriptionTo, type StagedEngineFaults } from './fakes/staged-engine.js'
import { WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 12
const pauseMilliseconds = 3300
const corruptPosition = 3

/** Blocks the whole process, as a pause of the machine does. */
function pause (milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
}

/** A moment at which the agent is paused and a chunk turns bad; `loads`: the versions that the engine is to load, and the positions that are wrong in them. */
interface Moment {
  readonly name: string
  readonly at: (interrupt: () => void) => Partial<StagedEngineFaults>
  readonly loads: readonly { readonly version: number, readonly wrong: readonly number[] }[]
}

const whole = { version: 2, wrong: [] }

const moments: readonly Moment[] = [
  { name: 'a chunk is staged', at: interrupt => ({ onStage: position => { if (position === chunkCount - 1) interrupt() } }), loads: [whole] },
  { name: 'the first chunk is read', at: interrupt => ({ onRead: position => { if (position === 0) interrupt() } }), loads: [whole] },
  { name: 'the chunk is read that turns bad', at: interrupt => ({ onRead: position => { if (position === corruptPosition) interrupt() } }), loads: [whole] },
  { name: 'the last chunk is read', at: interrupt => ({ onRead: position => { if (position === chunkCount - 1) interrupt() } }), loads: [whole] },
  { name: 'the order is on its way', at: interrupt => ({ onOrder: interrupt }), loads: [{ version: 2, wrong: [corruptPosition] }, whole] },
  { name: 'the order is accepted and not answered', at: interrupt => ({ onAccepted: interrupt }), loads: [whole, whole] }
]

for (const { name, at, loads } of moments) {
  test(`paused agent: ${name}`, async t => {
    let isInterrupted = false
    let hasStarted = false
    const engine: StagedEngine = new StagedEngine(chunkCount, at(() => {
      if (isInterrupted || !hasStarted) return
      isInterrupted = true
      engine.corrupt(corruptPosition)
      pause(pauseMilliseconds)
    }))
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    await node.start(engine, new EveryVersionOrigin(chunkCount))
    await node.sendFor(500, subscriptionTo(1, chunkCount))
    hasStarted = true
    let exposures = 0
    const watch = setInterval(() => {
      const last = node.received.findLast(message => message.kind === 'load')
      if (engine.isServingWrong && last?.kind === 'load' && last.version === 2 && !last.isSwapping) exposures += 1
    }, 10)
    t.teardown(() => { clearInterval(watch) })
    await node.sendFor(pauseMilliseconds + 4000, subscriptionTo(2, chunkCount))
    t.equal(exposures, 0, 'entries are never told that a wrong load serves')
    t.ok(isInterrupted, 'the agent was paused')
    t.same(engine.accepted, loads)
    t.match(node.received.filter(({ kind }) => kind === 'load').at(-1), { version: 2, isSwapping: false }, 'callers get tokens of the new version')
  })
}
