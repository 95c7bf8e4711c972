/** Changes of the configuration beside requests in every state at an entry of the product's own interface: each whole request gets a complete answer or a truthful refusal. */
import { setTimeout as wait } from 'node:timers/promises'
import { test } from 'tap'
import { headers } from '../src/types/messages.js'
import type { Change, Configuration } from '../src/types/configuration.js'
import { monotonicNow } from '../src/utils/clock.js'
import { answerPlain, answerTokens } from './fakes/agent.js'
import { RawCaller, type Received } from './fakes/raw-caller.js'
import { configuration, intent, newWeights, oldWeights, TestCluster } from './fakes/test-cluster.js'

interface ChangeCase {
  readonly name: string
  readonly changes: readonly Change[]
}

const replace = (name: string, change: Partial<Configuration>): ChangeCase => ({ name, changes: [{ kind: 'replace', configuration: { ...configuration, ...change } }] })
const { patrol } = configuration.organisations
const { citations, ledger } = configuration.services as { readonly citations: Configuration['services'][string], readonly ledger: Configuration['services'][string] }

const changeCases: readonly ChangeCase[] = [
  replace('nothing but the revision', {}),
  replace('an organisation removed', { organisations: patrol === undefined ? {} : { patrol }, intents: { first: { ...intent('first', newWeights), organisations: ['patrol'] } } }),
  replace('a service removed', { services: { citations } }),
  replace('all services removed', { services: {}, intents: {} }),
  replace('operations that may now be repeated', { services: { citations, ledger: { ...ledger, nonIdempotent: [] } as typeof ledger } }),
  replace('operations that may no longer be repeated', { services: { citations, ledger: { ...ledger, nonIdempotent: ['sign-off', 'look-up'] } as typeof ledger } }),
  replace('limits lowered to one', { services: { citations: { ...citations, coldBound: 1, fullBound: 1 }, ledger: { ...ledger, coldBound: 1, fullBound: 1 } } }),
  replace('an intent replaced', { intents: { later: intent('later', oldWeights) } }),
  { name: 'an intent withdrawn', changes: [{ kind: 'withdraw', intent: 'first' }] },
  { name: 'a data centre out', changes: [{ kind: 'data-centre', dataCentre: 'east', state: 'out' }] },
  { name: 'both data centres out', changes: [{ kind: 'data-centre', dataCentre: 'east', state: 'out' }, { kind: 'data-centre', dataCentre: 'west', state: 'out' }] }
]

interface RequestState {
  readonly name: string
  readonly path: string
  readonly body: string
  /** Share of the bytes that is sent before the change. */
  readonly sentBefore: number
  readonly isChunked?: boolean
  /** Whether an earlier request was answered on the connection. */
  readonly isKept?: boolean
}

const questionOf = (prompt: string): string => JSON.stringify({ prompt, maximumTokens: 8 })
const entryOf = (text: string): string => JSON.stringify({ text: text.repeat(200) })
const states: readonly RequestState[] = [
  { name: 'sent', path: 'ledger/look-up', body: entryOf('text 1 '), sentBefore: 1 },
  { name: 'sent, runs at most once', path: 'ledger/sign-off', body: entryOf('text 2 '), sentBefore: 1 },
  { name: 'stream begun', path: 'citations/completions', body: questionOf('text 3 '), sentBefore: 1 },
  { name: 'body partly received', path: 'ledger/look-up', body: entryOf('text 4 '), sentBefore: 0.6 },
  { name: 'body partly received, chunked', path: 'ledger/look-up', body: entryOf('text 5 '), sentBefore: 0.6, isChunked: true },
  { name: 'body partly received, runs at most once', path: 'ledger/sign-off', body: entryOf('text 6 '), sentBefore: 0.6 },
  { name: 'head partly received on a kept connection', path: 'ledger/look-up', body: entryOf('text 7 '), sentBefore: 0.02, isKept: true },
  { name: 'next one on a kept connection', path: 'citations/completions', body: questionOf('text 8 '), sentBefore: 0, isKept: true },
  { name: 'connection just opened', path: 'ledger/look-up', body: entryOf('text 9 '), sentBefore: 0 }
]

const [tokenMilliseconds, heldMilliseconds, restMilliseconds, answerMilliseconds] = [60, 350, 150, 8000]

function encode ({ path, body, isChunked = false }: RequestState, id: string): string {
  const framing = isChunked ? 'transfer-encoding: chunked' : `content-length: ${body.length}`
  const lines = [`POST /services/${path} HTTP/1.1`, 'host: entry', `${headers.organisation}: troop`, `${headers.requestId}: ${id}`, `${headers.idempotencyKey}: ${id}`, framing]
  return `${lines.join('\r\n')}\r\n\r\n${isChunked ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body}`
}

const headerOf = (head: string, name: string): string => new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? ''

/** What is wrong with what a caller received; empty if nothing is. */
function judge (received: Received, cluster: TestCluster, isOnce: boolean): string {
  if (received.kind !== 'answer') return `${received.kind} after ${JSON.stringify(received.bytes.slice(-80))}`
  const outcome = headerOf(received.head, headers.outcome)
  const id = headerOf(received.head, headers.requestId)
  const hasRun = cluster.agents.some(({ runs }) => runs.some(run => run.id === id))
  if (outcome === 'not-run' && hasRun) return `${received.status} says that the request has not run, but it has`
  if (received.status === 200) return received.body.includes('"type":"failure"') ? 'stream ended with a failure' : ''
  // With a key an earlier request may have run, so a refusal may promise nothing.
  const isRefusal = outcome === 'not-run' || (isOnce && received.status === 503 && outcome === 'unknown')
  return isRefusal ? '' : `status ${received.status}, outcome ${outcome}: ${received.body.slice(0, 80)}`
}

/** Plays a change beside a request in each state; returns what is wrong, by state. */
async function playChange ({ changes }: ChangeCase): Promise<Readonly<Record<string, string>>> {
  const cluster = await TestCluster.start({ citations: ['east', 'west'], ledger: ['east', 'west'] })
  for (const agent of cluster.agents) agent.defaultOutcome = 'running'
  for (const agent of cluster.agentsOf('citations')) agent.behave = answerTokens(undefined, tokenMilliseconds)
  for (const agent of cluster.agentsOf('ledger')) {
    agent.behave = async (run, response) => {
      await wait(heldMilliseconds)
      await answerPlain(run, response, agent)
    }
  }
  const callers = states.map((state, index) => ({ state, id: `request-${index}`, caller: new RawCaller(cluster.urlOf(0).replace('http://', '')) }))
  await Promise.all(callers.map(async ({ state, id, caller }) => {
    if (state.isKept === true) {
      caller.send(encode({ ...state, path: 'ledger/look-up', body: '{}' }, `${id}-earlier`))
      await caller.answer(monotonicNow() + answerMilliseconds)
    }
  }))
  for (const { state, id, caller } of callers) caller.send(encode(state, id).slice(0, Math.floor(encode(state, id).length * state.sentBefore)))
  await wait(100)
  for (const change of changes) await cluster.change(change, 0)
  await wait(restMilliseconds)
  for (const { state, id, caller } of callers) caller.send(encode(state, id).slice(Math.floor(encode(state, id).length * state.sentBefore)))
  const findings = await Promise.all(callers.map(async ({ state, caller }) => {
    const received = await caller.answer(monotonicNow() + answerMilliseconds)
    caller.close()
    return [state.name, judge(received, cluster, state.path === 'ledger/sign-off')] as const
  }))
  const { node } = await cluster.status(0)
  cluster.stop()
  return { ...Object.fromEntries(findings.filter(([, finding]) => finding !== '')), ...node.revision > 0 ? {} : { change: 'was not in force' } }
}

for (const changeCase of changeCases) {
  test(`entry configuration change: ${changeCase.name}`, async t => {
    t.same(await playChange(changeCase), {}, 'requests without an answer or a truthful refusal, by their state')
  })
}
