/** Callers must get no tokens of a load that took wrong chunks, whatever overlaps with its acceptance. */
import { test } from 'tap'
import { writeLogs } from '../src/utils/log.js'
import { monotonicNow } from '../src/utils/clock.js'
import { chunkOf, EveryVersionOrigin, StagedEngine, subscriptionTo, type StagedEngineFaults } from './fakes/staged-engine.js'
import { settings, WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 12
const pauseMilliseconds = 3300
const lastPosition = chunkCount - 1

/** Blocks the whole process, as a pause of the machine does. */
function pause (milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
}

interface Case {
  readonly name: string
  readonly faults: (engine: () => StagedEngine) => Partial<StagedEngineFaults>
  /** Runs before the agent starts. */
  readonly prepare?: (engine: StagedEngine) => void
  /** Versions that are named, each for that time in milliseconds. */
  readonly named?: readonly { readonly version: number, readonly milliseconds: number }[]
}

/** Calls `act` the first time only. */
function once (act: () => void): () => void {
  let isDone = false
  return () => {
    if (isDone) return
    isDone = true
    act()
  }
}

const cases: readonly Case[] = [
  {
    name: 'chunks are checked for a repeated order while a pause ends in which the first order was accepted',
    faults: engine => {
      const interrupt = once(() => {
        engine().corrupt(lastPosition)
        pause(pauseMilliseconds)
      })
      return { readMilliseconds: 50, acceptMilliseconds: [2000], onRead: () => { if (engine().received === 1) interrupt() } }
    }
  },
  {
    name: 'an engine without weights, and a report from before the order is handled after its answer',
    faults: engine => {
      const interrupt = once(() => {
        engine().corrupt(lastPosition)
        pause(pauseMilliseconds)
      })
      return { served: 0, readMilliseconds: 30, reportMilliseconds: 90, onOrder: interrupt }
    }
  },
  {
    name: 'an order of the process before is accepted while this one stages the same version',
    faults: engine => {
      const accept = once(() => { engine().acceptOfOther(2, 0) })
      return { onStage: position => { if (position === 0) accept() } }
    },
    prepare: engine => {
      engine.holdStaged(2)
      engine.corrupt(lastPosition, monotonicNow() - 4000)
    }
  },
  {
    name: 'an order of the process before was accepted before this one started',
    faults: () => ({ loadMilliseconds: 1000 }),
    prepare: engine => {
      engine.holdStaged(2)
      engine.corrupt(lastPosition, monotonicNow() - 4000)
      engine.acceptOfOther(2, 0)
    }
  },
  {
    name: 'a chunk of the version before whose staging was not answered is staged between the check and the order',
    faults: () => {
      let land: () => void = () => {}
      const landed = new Promise<void>(resolve => { land = resolve })
      let isLate = false
      return {
        lateStage: (position, chunk) => {
          if (isLate || position !== 3 || !chunk.equals(chunkOf(2, 3))) return undefined
          isLate = true
          return landed
        },
        acceptMilliseconds: [20, 20, 20],
        onOrder: version => { if (version === 3) land() }
      }
    },
    named: [{ version: 2, milliseconds: 400 }, { version: 3, milliseconds: 6000 }]
  }
]

for (const { name, faults, prepare, named = [{ version: 2, milliseconds: 8000 }] } of cases) {
  test(`wrong load: ${name}`, async t => {
    const engine: StagedEngine = new StagedEngine(chunkCount, faults(() => engine))
    prepare?.(engine)
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    await node.start(engine, new EveryVersionOrigin(chunkCount))
    let exposures = 0
    const watch = setInterval(() => {
      const last = node.received.findLast(message => message.kind === 'load')
      if (engine.isServingWrong && last?.kind === 'load' && last.version === engine.accepted.at(-1)?.version && !last.isSwapping) exposures += 1
    }, 10)
    t.teardown(() => { clearInterval(watch) })
    for (const { version, milliseconds } of named) await node.sendFor(milliseconds, subscriptionTo(version, chunkCount))
    t.ok(engine.accepted.some(({ wrong }) => wrong.length > 0), 'the engine took wrong chunks')
    t.equal(exposures, 0, 'entries are never told that a wrong load serves')
    t.equal(engine.isServingWrong, false, 'the engine serves no wrong load in the end')
  })
}

for (const readMilliseconds of [100, 200, 300]) {
  test(`slow engine: a read of each of 96 chunks takes ${readMilliseconds} ms, and the version is served by its cutoff`, async t => {
    const engine = new StagedEngine(96, { readMilliseconds })
    engine.loseStaged()
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    await node.start(engine, new EveryVersionOrigin(96))
    await node.sendFor(500, subscriptionTo(1, 96))
    const end = monotonicNow() + settings.rolloutMilliseconds
    while (engine.accepted.length === 0 && monotonicNow() < end) await node.sendFor(200, subscriptionTo(2, 96))
    t.same(engine.accepted, [{ version: 2, wrong: [] }])
    const closed = node.received.filter(message => message.kind === 'load' && message.version === 1 && message.isSwapping)
    t.comment(`reports of the version before that are closed: ${closed.length}`)
  })
}
