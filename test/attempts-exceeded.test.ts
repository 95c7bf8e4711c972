/** Whether one request runs on more upstreams than its route allows, when upstreams hang and streams are withdrawn from them before a named version binds. */
import type { ServerResponse } from 'node:http'
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { EngineFleet, FakeEngine, wholeStream } from './fakes/engine-fleet.js'

/** Time from the naming of a version until requests start on it only, as the entries of the tests have it, milliseconds. */
const boundMilliseconds = 10_000
const namedVersion = 2
const requestId = 'request'

/** What the next engine that runs the request does: begins and then sends nothing (`hang`), resets its connection after an event (`reset`), or sends the whole stream, after a wait in milliseconds. */
type Step = 'hang' | 'reset' | number

/** An engine that takes what it does from steps that it shares with others. */
class SteppedEngine extends FakeEngine {
  constructor (id: string, version: number, private readonly steps: Step[], listedVersion = version) {
    super(id, version, 0, 20, listedVersion)
  }

  protected override run (id: string, after: number, response: ServerResponse): void {
    const step = this.steps.shift() ?? 'hang'
    this.begun.set(id, monotonicNow())
    if (step !== 'hang') this.sendAfter(step === 'reset' ? 20 : step, id, after, response, step === 'reset' ? after + 1 : undefined)
  }
}

/** An engine: which weights it has, or that its record names newer ones than it has, so that it refuses the request; and the runs of the request after which it is listed. */
interface ListedEngine {
  readonly weights: 'older' | 'named' | 'older, listed as named'
  readonly listedAfter: number
}

const older = (listedAfter = 0): ListedEngine => ({ weights: 'older', listedAfter })
const named = (listedAfter: number): ListedEngine => ({ weights: 'named', listedAfter })
const refusing = (listedAfter: number): ListedEngine => ({ weights: 'older, listed as named', listedAfter })

interface Case {
  readonly name: string
  readonly maximumUpstreams: number
  /** Time before the bound at which the request is sent, milliseconds. */
  readonly sentBefore: number
  /** Steps of the engines that run the request, in that order. */
  readonly steps: readonly Step[]
  /** Engines, in the order in which they are listed. */
  readonly engines: readonly ListedEngine[]
  /** Engines that run the request. */
  readonly runs: number
  /** What the caller gets: the whole stream, one that is cut, or the status of a failure. */
  readonly expected: 'whole' | 'cut' | number
}

const cases: readonly Case[] = [
  { name: 'two hang, and it is withdrawn from both', maximumUpstreams: 2, sentBefore: 2800, steps: ['hang', 'hang', 20], engines: [older(), older(), named(2)], runs: 2, expected: 502 },
  { name: 'the first is reset, the second hangs and it is withdrawn', maximumUpstreams: 2, sentBefore: 1900, steps: ['reset', 'hang', 20], engines: [older(), older(), named(2)], runs: 2, expected: 'cut' },
  { name: 'the first hangs and it is withdrawn, the second is reset', maximumUpstreams: 2, sentBefore: 1500, steps: ['hang', 'reset', 20], engines: [older(), named(1), named(1)], runs: 2, expected: 'cut' },
  { name: 'withdrawn before the first counts as silent, and the second hangs', maximumUpstreams: 2, sentBefore: 1500, steps: ['hang', 'hang', 20], engines: [older(), named(1), named(1)], runs: 2, expected: 504 },
  { name: 'one attempt', maximumUpstreams: 1, sentBefore: 1500, steps: ['hang', 20], engines: [older(), named(1)], runs: 1, expected: 502 },
  { name: 'withdrawn from two at once beside a silent one', maximumUpstreams: 3, sentBefore: 4800, steps: [4700, 'hang', 'hang', 20], engines: [named(0), older(1), older(1), named(3)], runs: 3, expected: 'whole' },
  { name: 'allowed: withdrawn from the first, and the second answers', maximumUpstreams: 2, sentBefore: 1500, steps: ['hang', 20], engines: [older(), named(1)], runs: 2, expected: 'whole' },
  { name: 'allowed: withdrawn from the first, refused, and another one answers', maximumUpstreams: 2, sentBefore: 1500, steps: ['hang', 20], engines: [older(), refusing(1), refusing(1), named(1)], runs: 2, expected: 'whole' },
  { name: 'allowed: withdrawn from two, and the third answers', maximumUpstreams: 3, sentBefore: 2800, steps: ['hang', 'hang', 20], engines: [older(), older(), named(2)], runs: 3, expected: 'whole' }
]

for (const { name, maximumUpstreams, sentBefore, steps, engines: listed, runs, expected } of cases) {
  test(`attempts exceeded: ${name}`, async t => {
    const route = { isResumable: true, maximumUpstreams }
    const fleet = new EngineFleet()
    await fleet.start([route])
    const rest = [...steps]
    const engines = listed.map(({ weights }, index) => new SteppedEngine(`i-${index}`, weights === 'named' ? namedVersion : namedVersion - 1, rest, weights === 'older' ? undefined : namedVersion))
    const countRuns = (): number => engines.filter(({ begun }) => begun.has(requestId)).length
    const list = async (listedAfter: number): Promise<void> => {
      while (countRuns() < listedAfter) await sleepUntil(monotonicNow() + 10)
      engines.forEach((engine, index) => { if (listed[index]?.listedAfter === listedAfter) fleet.list(engine) })
    }
    for (const engine of engines) await fleet.add(engine, false)
    await list(0)
    await sleepUntil(monotonicNow() + 1000)
    const boundAt = fleet.nameVersion(namedVersion) + boundMilliseconds
    await sleepUntil(boundAt - sentBefore)
    const call = fleet.call(route, requestId)
    for (const listedAfter of [1, 2, 3].filter(after => after <= runs)) await list(listedAfter)
    const { status, body } = await call
    await fleet.stop()
    t.ok(countRuns() <= maximumUpstreams, `${countRuns()} of ${maximumUpstreams} upstreams run it`)
    t.equal(countRuns(), runs)
    t.equal(rest.length, Math.max(0, steps.length - runs), 'no upstream runs it twice')
    t.equal(status, expected === 'whole' ? 200 : expected === 'cut' ? 0 : expected)
    if (expected === 'whole') t.equal(body, wholeStream)
  })
}
