/** An engine must not take chunks that turned bad after they were checked: checks must be recent when an order is sent. */
import { test } from 'tap'
import { writeLogs } from '../src/utils/log.js'
import { StagedEngine, EveryVersionOrigin, subscriptionTo, type StagedEngineFaults } from './fakes/staged-engine.js'
import { WeightsNode } from './fakes/weights-node.js'

writeLogs('silent')

const chunkCount = 96

/** Blocks the whole process, as a pause of the machine does. */
function pause (milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds)
}

interface Case {
  readonly name: string
  /** Faults of the engine from the moment at which version 2 is staged; `corrupt` lets a staged chunk turn bad. */
  readonly faults: (corrupt: (position: number) => void, isStaged: () => boolean) => Partial<StagedEngineFaults>
}

const cases: readonly Case[] = [
  {
    name: 'the engine answers each read after 45 ms, and the first three turn bad once they are read',
    faults: (corrupt, isStaged) => {
      const bad = new Set<number>()
      return {
        readMilliseconds: 45,
        onRead: position => {
          if (position > 2 || bad.has(position) || !isStaged()) return
          bad.add(position)
          setTimeout(() => { corrupt(position) }, 50)
        }
      }
    }
  },
  {
    name: 'the agent is paused while it reads the last chunk, and another turns bad',
    faults: (corrupt, isStaged) => {
      let isPaused = false
      return {
        onRead: position => {
          if (position !== chunkCount - 1 || isPaused || !isStaged()) return
          isPaused = true
          corrupt(3)
          pause(4000)
        }
      }
    }
  }
]

for (const { name, faults } of cases) {
  test(`stale check of staged chunks: ${name}`, async t => {
    const engine: StagedEngine = new StagedEngine(chunkCount, faults(position => { engine.corrupt(position) }, () => engine.isStaged(2)))
    const node = new WeightsNode()
    t.teardown(() => node.stop())
    await node.start(engine, new EveryVersionOrigin(chunkCount))
    await node.sendFor(10_000, subscriptionTo(2, chunkCount))
    t.same(engine.accepted, [{ version: 2, wrong: [] }])
  })
}
