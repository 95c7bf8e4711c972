/** Agents that are paused, killed, stopped and replaced around an order to load weights, as processes: an engine must not take wrong chunks, or serve them. */
import PQueue from 'p-queue'
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import type { AcceptedLoad, EngineCall, ModelServerOptions } from './fakes/model-server.js'
import { WeightsProcesses } from './fakes/weights-process.js'

const chunkCount = 24
const [firstChunk, middleChunk, lastChunk] = [3, chunkCount / 2, chunkCount - 1] as const
const pauseMilliseconds = 4000
/** Pauses within the time that a call may take, which add up to more than a chunk may be wrong. */
const [shortPauses, shortPauseMilliseconds] = [6, 800] as const
const maximumRunMilliseconds = 60_000
const settleMilliseconds = 1500
/** Cases that run at the same time. */
const concurrency = 11

/** Whether a call is the one at which the trouble begins. */
type Moment = (call: EngineCall, node: WeightsProcesses, calls: Calls) => boolean

interface Case {
  readonly name: string
  readonly moment: Moment
  /** Whether the trouble begins once the call is answered, and not when it arrives. */
  readonly isAfterAnswer?: true
  /** Number of times that the trouble occurs at most; 1 by default. */
  readonly times?: number
  readonly trouble: (node: WeightsProcesses, call: EngineCall) => void
  readonly options?: Partial<Pick<ModelServerOptions, 'acceptMilliseconds'>>
  /** Time until calls on connections from before the trouble are answered, milliseconds, by their kind. */
  readonly answerMilliseconds?: Partial<Record<EngineCall['kind'], number>>
  /** Whether nobody reads the log of the first process. */
  readonly hasUnreadLog?: true
  /** Version that is served in the end; 2 by default. */
  readonly newest?: number
  /** Whether the engine takes wrong chunks whatever an agent does: it must not offer them. */
  readonly isTakenAnyway?: true
}

/** How often each chunk was staged. */
class Calls {
  private readonly puts = new Map<number, number>()

  recordPut (position: number): void {
    this.puts.set(position, this.putsOf(position) + 1)
  }

  putsOf (position: number): number {
    return this.puts.get(position) ?? 0
  }
}

interface Outcome {
  readonly troubles: number
  readonly accepted: readonly AcceptedLoad[]
  readonly wrongOffers: readonly string[]
  readonly served: number
  readonly lines: readonly string[]
  /** Time from the trouble until the first process had ended, milliseconds; undefined if it ran on. */
  readonly endedAfterMilliseconds: number | undefined
  /** Chunks that were staged and orders that were given, after the trouble, on connections from before. */
  readonly lateCalls: readonly LateCall[]
}

interface LateCall {
  readonly kind: EngineCall['kind']
  readonly afterMilliseconds: number
}

const atCheckOf = (position: number): Moment => (call, { engine }) => call.kind === 'read' && call.position === position && engine.isStaged(2)
const atOrder: Moment = call => call.kind === 'order'
const atPut = (position: number, count: number): Moment => (call, _node, calls) => call.kind === 'put' && call.position === position && calls.putsOf(position) === count

/** Corrupts a chunk when the last one is staged, and waits until it is staged again. */
function atRepairOf (position: number): Moment {
  return (call, node, calls) => {
    if (call.kind === 'put' && call.position === lastChunk) node.engine.corrupt(position)
    return atPut(position, 2)(call, node, calls)
  }
}

function pauseAgent (node: WeightsProcesses, milliseconds: number): void {
  const { agent } = node
  agent.signal('SIGSTOP')
  setTimeout(() => { agent.signal('SIGCONT') }, milliseconds)
}

function pauseAndCorrupt (node: WeightsProcesses): void {
  pauseAgent(node, pauseMilliseconds)
  node.engine.corrupt(firstChunk)
}

function nameNext (node: WeightsProcesses): void {
  node.name(3)
}

/** The agent gets a signal, its successor starts at once, and another version is named. */
function replaceAgent (signal: NodeJS.Signals): (node: WeightsProcesses) => void {
  return node => {
    node.agent.signal(signal)
    node.startAgent()
    node.name(3)
  }
}

const acceptedAfter = (milliseconds: number): Case['options'] => ({ acceptMilliseconds: () => milliseconds })

const pauses: readonly Case[] = [
  { name: 'paused up to three times after the check of the last chunk, and another turns bad', moment: atCheckOf(lastChunk), isAfterAnswer: true, times: 3, trouble: pauseAndCorrupt },
  {
    name: 'paused for 0.8 s at each of the last six checks, and an earlier one turns bad',
    moment: (call, { engine }) => call.kind === 'read' && call.position > lastChunk - shortPauses && (engine.isStaged(2) || engine.hasCorrupt),
    times: shortPauses,
    trouble: node => {
      pauseAgent(node, shortPauseMilliseconds)
      if (!node.engine.hasCorrupt) node.engine.corrupt(firstChunk)
    }
  },
  { name: 'paused at the check of a chunk in the middle, and an earlier one turns bad', moment: atCheckOf(middleChunk), isAfterAnswer: true, trouble: pauseAndCorrupt },
  { name: 'paused when the last chunk is staged, and another turns bad', moment: atPut(lastChunk, 1), trouble: pauseAndCorrupt },
  {
    name: 'paused while it repairs a chunk, and an earlier one turns bad',
    moment: atRepairOf(middleChunk),
    trouble: pauseAndCorrupt
  },
  { name: 'paused when its order is accepted, and a chunk turns bad', moment: atOrder, trouble: pauseAndCorrupt },
  {
    name: 'paused when its order arrives, a chunk turns bad, and the order is accepted 4 s later',
    moment: atOrder,
    trouble: node => {
      pauseAndCorrupt(node)
      setTimeout(() => { node.name(3) }, 2 * pauseMilliseconds)
    },
    options: { acceptMilliseconds: version => version === 2 ? pauseMilliseconds : 0 },
    newest: 3,
    isTakenAnyway: true
  }
]

const lateOrders: readonly Case[] = [2500, 4300, 5400].map(milliseconds => (
  { name: `orders are accepted after ${milliseconds / 1000} s, and another version is named meanwhile`, moment: atOrder, trouble: nameNext, options: acceptedAfter(milliseconds), newest: 3 }))

const replacements: readonly Case[] = (['SIGKILL', 'SIGTERM'] as const).flatMap(signal => [2500, 5000].map(milliseconds => (
  { name: `${signal} after its order, which is accepted after ${milliseconds / 1000} s, and its successor learns of another version`, moment: atOrder, trouble: replaceAgent(signal), options: acceptedAfter(milliseconds), newest: 3 })))

/** The successor starts once the order was accepted. */
const lateSuccessor: Case = {
  name: 'SIGKILL when its order arrives, a chunk turns bad, the order is accepted 4 s later, and its successor starts after 5 s',
  moment: atOrder,
  trouble: node => {
    node.agent.signal('SIGKILL')
    node.engine.corrupt(firstChunk)
    setTimeout(() => { node.startAgent() }, pauseMilliseconds + 1000)
    setTimeout(() => { node.name(3) }, 3 * pauseMilliseconds)
  },
  options: { acceptMilliseconds: version => version === 2 ? pauseMilliseconds : 0 },
  newest: 3,
  isTakenAnyway: true
}

const stops: readonly Case[] = [
  { name: 'SIGTERM while it stages, and its successor learns of another version', moment: atPut(middleChunk, 1), trouble: replaceAgent('SIGTERM'), answerMilliseconds: { put: 100 }, newest: 3 },
  {
    // The process has just written a line on the chunk, so that its log cannot be flushed.
    name: 'SIGTERM while it repairs a chunk and the pipe of its log is full, and its successor learns of another version',
    moment: atRepairOf(0),
    trouble: node => {
      node.fillPipe()
      replaceAgent('SIGTERM')(node)
    },
    answerMilliseconds: { read: 150 },
    options: { acceptMilliseconds: version => version === 3 ? 4000 : 0 },
    hasUnreadLog: true,
    newest: 3
  }
]

const engineRestarts: readonly Case[] = [
  { name: 'the engine restarts between check and order', moment: atOrder, trouble: ({ engine }, { socket }) => { engine.restart('kept', socket) } },
  { name: 'the engine loses its power between check and order, which is accepted after 4 s', moment: atOrder, trouble: ({ engine }, { socket }) => { engine.restart('lost', socket) }, options: acceptedAfter(4000) },
  {
    name: 'the engine restarts between check and order, which is accepted after 4 s, and another version is named',
    moment: atOrder,
    trouble: (node, { socket }) => {
      node.engine.restart('kept', socket)
      node.name(3)
    },
    options: acceptedAfter(4000),
    newest: 3
  },
  {
    name: 'the engine restarts when an order arrives, and another version is named',
    moment: atOrder,
    trouble: node => {
      node.engine.restart('kept')
      node.name(3)
    },
    options: { acceptMilliseconds: version => version === 2 ? 1000 : 0 },
    newest: 3
  }
]

async function run (tested: Case): Promise<Outcome> {
  const { moment, isAfterAnswer, times = 1, trouble, options, answerMilliseconds = {}, hasUnreadLog, newest = 2 } = tested
  const calls = new Calls()
  const socketsBefore = new Set<unknown>()
  const lateCalls: LateCall[] = []
  let troubles = 0
  let troubleAt = 0
  const observe = (call: EngineCall): void => {
    if (troubles >= times || !moment(call, node, calls)) return
    troubles += 1
    troubleAt = monotonicNow()
    trouble(node, call)
  }
  const node: WeightsProcesses = new WeightsProcesses({
    chunkCount,
    answerMilliseconds: call => troubles === 0 || socketsBefore.has(call.socket) ? answerMilliseconds[call.kind] ?? 0 : 0,
    acceptMilliseconds: () => 0,
    ...options,
    onCall: call => {
      if (call.kind === 'put') calls.recordPut(call.position)
      if (troubles === 0) socketsBefore.add(call.socket)
      else if ((call.kind === 'put' || call.kind === 'order') && socketsBefore.has(call.socket)) lateCalls.push({ kind: call.kind, afterMilliseconds: monotonicNow() - troubleAt })
      if (isAfterAnswer === undefined) observe(call)
    },
    onAnswered: call => { if (isAfterAnswer === true) observe(call) }
  })
  try {
    await node.start(hasUnreadLog === undefined)
    node.name(2)
    const { engine } = node
    const hasEnded = (): boolean => troubles > 0 && engine.loaded?.version === newest && engine.pendingOrders === 0
    const end = monotonicNow() + maximumRunMilliseconds
    while (!hasEnded() && monotonicNow() < end) await sleepUntil(monotonicNow() + 50)
    await sleepUntil(monotonicNow() + settleMilliseconds)
    const endedAt = node.agents[0]?.endedAt
    const endedAfterMilliseconds = endedAt === undefined ? undefined : endedAt - troubleAt
    const lines = node.agents.flatMap((agent, index) => agent.lines.map(line => `${index} ${line}`))
    return { troubles, accepted: engine.accepted, wrongOffers: [...node.wrongOffers], served: engine.loaded?.version ?? 0, lines, endedAfterMilliseconds, lateCalls }
  } finally {
    node.stop()
  }
}

function describe (endedAfterMilliseconds: number | undefined, lateCalls: readonly LateCall[]): string {
  const end = endedAfterMilliseconds === undefined ? 'still ran' : `had ended after ${Math.round(endedAfterMilliseconds)} ms`
  const countOf = (kind: EngineCall['kind']): number => lateCalls.filter(call => call.kind === kind).length
  return `the first process ${end}; on its connections ${countOf('put')} chunks were staged and ${countOf('order')} orders given, the last after ${Math.round(lateCalls.at(-1)?.afterMilliseconds ?? 0)} ms`
}

const queue = new PQueue({ concurrency })

for (const tested of [...pauses, ...lateOrders, ...replacements, lateSuccessor, ...stops, ...engineRestarts]) {
  const running = queue.add(async () => await run(tested))
  test(`agent process: ${tested.name}`, async t => {
    const { troubles, accepted, wrongOffers, served, lines, endedAfterMilliseconds, lateCalls } = await running
    t.ok(troubles > 0, 'the trouble occurred')
    const wrongLoads = accepted.filter(({ wrong, otherVersion }) => wrong.length > 0 || otherVersion.length > 0)
    if (tested.isTakenAnyway === true) t.equal(wrongLoads.length, 1, 'the order took wrong chunks')
    else t.same(wrongLoads, [], 'no order took wrong chunks')
    t.same(wrongOffers, [], 'entries are not offered an engine with wrong chunks')
    t.equal(served, tested.newest ?? 2, 'the newest version is served')
    t.comment(describe(endedAfterMilliseconds, lateCalls))
    if (!t.passing()) t.comment(lines.join('\n'))
  })
}
