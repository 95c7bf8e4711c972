/** Every change that a configuration can make, beside requests in every state: each caller that has sent a whole request gets a complete answer or a truthful refusal. */
import { test } from 'tap'
import { monotonicNow, sleepUntil } from '../src/utils/clock.js'
import { configurationChanges, type ConfigurationChange } from './fakes/configuration-changes.js'
import { ChangingFleet, callerKey } from './fakes/changing-fleet.js'
import { encodeRequest, RawCaller, type RawRequest, type Received } from './fakes/raw-caller.js'

const pause = (milliseconds: number): Promise<void> => sleepUntil(monotonicNow() + milliseconds)

/** Deployments that run at the same time; each mostly waits. */
const concurrentDeployments = 12
/** Time from the start of an entry until it has the records, and until the idle connections have been made, milliseconds. */
const startMilliseconds = 1500
/** Time for which requests in progress are held by the upstreams, for which a connection is held while another request waits for it (shorter than it waits), and after the change of which the rest of a partial request is sent, milliseconds. */
const [heldMilliseconds, heldConnectionMilliseconds, restMilliseconds] = [500, 350, 300]
const longHeldMilliseconds = 2400
/** Time that callers wait, and for which a failure to answer in time is allowed to be late, milliseconds (the rules' half second). */
const [timeoutMilliseconds, lateMilliseconds] = [3500, 500]
/** Statuses that promise that the request has not run. */
const promises = new Set([401, 404, 408, 413, 421, 429, 431, 503])
/** Statuses that tell the caller that its request is not allowed. */
const denials = new Set([400, 401, 403, 404, 413, 431])

/** State of a request at the change: `before` brings it about, `after` sends what is missing. */
interface RequestState {
  readonly name: string
  readonly request: Omit<RawRequest, 'id' | 'timeoutMilliseconds' | 'key'>
  readonly before: (caller: RawCaller, bytes: { readonly head: string, readonly body: string }, fleet: ChangingFleet) => Promise<void> | void
  readonly after?: (caller: RawCaller, bytes: { readonly head: string, readonly body: string }) => Promise<void> | void
}

const sendWhole: RequestState['before'] = (caller, { head, body }) => { caller.send(head + body) }
const middleOf = (text: string): number => Math.floor(text.length / 2)
const body = 'x'.repeat(3000)

/** Requests of one entry that take all places at the upstream of the queue's service. */
const placesInQueue = 2

/** Sends requests that take all places or the only connection, then the one under test. */
const sendBehindOthers = (path: string, count: number, holdMilliseconds: number, method = 'GET'): RequestState['before'] => async (caller, { head }, fleet) => {
  for (let number = 0; number < count; number += 1) {
    new RawCaller(fleet.entry.callers).send(encodeRequest({ id: `${number}-of-${path}`, path, method, key: callerKey, timeoutMilliseconds, holdMilliseconds }).head)
  }
  await pause(60)
  caller.send(head)
}

/** Makes a request and leaves its connection idle. */
const useOnce: RequestState['before'] = async caller => {
  caller.send(encodeRequest({ id: 'earlier', path: '/plain/0', key: callerKey, timeoutMilliseconds }).head)
  await caller.answer(monotonicNow() + timeoutMilliseconds)
}

const partly = (framing: 'length' | 'chunked', path: string): RequestState => ({
  name: `body of ${path} partly received, ${framing}`,
  request: { path, method: 'POST', framing, body },
  before: (caller, bytes) => { caller.send(bytes.head + bytes.body.slice(0, middleOf(bytes.body))) },
  after: async (caller, bytes) => {
    await pause(restMilliseconds)
    caller.send(bytes.body.slice(middleOf(bytes.body)))
  }
})

const states: readonly RequestState[] = [
  { name: 'waiting in the queue', request: { path: '/queue/1', holdMilliseconds: 50 }, before: sendBehindOthers('/queue/0', placesInQueue, heldMilliseconds) },
  { name: 'waiting for a connection', request: { path: '/narrow/1', holdMilliseconds: 50 }, before: sendBehindOthers('/narrow/0', 1, heldConnectionMilliseconds) },
  { name: 'waiting for a connection of its own', request: { path: '/narrow-once/1', method: 'POST', holdMilliseconds: 50 }, before: sendBehindOthers('/narrow-once/0', 1, heldConnectionMilliseconds, 'POST') },
  { name: 'sent', request: { path: '/plain/1', holdMilliseconds: heldMilliseconds }, before: sendWhole },
  { name: 'sent, runs at most once', request: { path: '/once/1', method: 'POST', framing: 'length', body, holdMilliseconds: heldMilliseconds }, before: sendWhole },
  { name: 'stream begun', request: { path: '/stream/1', holdMilliseconds: heldMilliseconds }, before: sendWhole },
  { name: 'sent, held for longer than dropped upstreams are remembered', request: { path: '/plain/12', holdMilliseconds: longHeldMilliseconds }, before: sendWhole },
  { name: 'stream begun, held as long', request: { path: '/stream/2', holdMilliseconds: longHeldMilliseconds }, before: sendWhole },
  { name: 'resumable stream begun', request: { path: '/stream/again/1', holdMilliseconds: heldMilliseconds }, before: sendWhole },
  {
    name: 'sent, and half of the next head behind it',
    request: { path: '/plain/11', holdMilliseconds: heldMilliseconds },
    before: (caller, { head }) => { caller.send(head + head.slice(0, middleOf(head))) }
  },
  { name: 'next one on a connection kept idle', request: { path: '/plain/2' }, before: useOnce, after: async (caller, { head }) => { await pause(restMilliseconds); caller.send(head) } },
  { name: 'next one arriving with the change on a connection kept idle', request: { path: '/plain/3' }, before: useOnce, after: (caller, { head }) => { caller.send(head) } },
  {
    name: 'head of the next one partly received on a kept connection',
    request: { path: '/plain/4' },
    before: async (caller, bytes, fleet) => { await useOnce(caller, bytes, fleet); caller.send(bytes.head.slice(0, middleOf(bytes.head))) },
    after: async (caller, { head }) => { await pause(restMilliseconds); caller.send(head.slice(middleOf(head))) }
  },
  { name: 'head partly received', request: { path: '/plain/5' }, before: (caller, { head }) => { caller.send(head.slice(0, middleOf(head))) }, after: async (caller, { head }) => { await pause(restMilliseconds); caller.send(head.slice(middleOf(head))) } },
  partly('length', '/plain/6'),
  partly('chunked', '/plain/7'),
  partly('length', '/once/8'),
  { name: 'connection just opened', request: { path: '/plain/9' }, before: () => {}, after: async (caller, { head }) => { await pause(restMilliseconds); caller.send(head) } },
  { name: 'all at once with the change', request: { path: '/plain/10' }, before: () => {}, after: sendWhole as RequestState['after'] }
]

/** What is wrong with what a caller received; empty if nothing is. */
function judge (received: Received, id: string, fleet: ChangingFleet, change: ConfigurationChange): string {
  if (received.kind !== 'answer') return `${received.kind} after ${JSON.stringify(received.bytes.slice(0, 60))}`
  const { status, body: answer } = received
  if (status === 200) return answer.includes('done') || answer.includes('data: 2') ? '' : 'incomplete answer'
  if (status === 500) return 'failure of the entry itself'
  if (promises.has(status) && fleet.arrived.has(id)) return `${status} promises that the request has not run, but it has`
  if (denials.has(status) && change.mayDeny !== true) return `denied with ${status} though both configurations allow it`
  const isTrueFailure = (status === 504 && change.mayTimeOut === true) || (status === 502 && change.mayFail === true)
  return promises.has(status) || isTrueFailure ? '' : `status ${status}: neither an answer of the upstream nor a promise`
}

/** Plays one change beside a request in each state; returns what is wrong, by state. */
async function playChange (change: ConfigurationChange): Promise<Readonly<Record<string, string>>> {
  const fleet = new ChangingFleet()
  await fleet.start()
  await pause(startMilliseconds)
  const callers = states.map(state => ({ state, id: state.request.path, caller: new RawCaller(fleet.entry.callers) }))
  const bytesOf = (state: RequestState, id: string): { readonly head: string, readonly body: string } => encodeRequest({ ...state.request, id, key: callerKey, timeoutMilliseconds })
  await Promise.all(callers.map(async ({ state, id, caller }) => { await state.before(caller, bytesOf(state, id), fleet) }))
  await pause(100)
  const changing = change.apply(fleet)
  const findings = await Promise.all(callers.map(async ({ state, id, caller }) => {
    await state.after?.(caller, bytesOf(state, id))
    const received = await caller.answer(monotonicNow() + timeoutMilliseconds + lateMilliseconds)
    caller.close()
    return [state.name, judge(received, id, fleet, change)] as [string, string]
  }))
  await changing
  await fleet.stop()
  const foreign = [...fleet.organisations].filter(name => !fleet.organisationNames.has(name))
  if (foreign.length > 0) findings.push(['upstreams', `were told organisations that no configuration has: ${foreign.join()}`])
  return Object.fromEntries(findings.filter(([, finding]) => finding !== ''))
}

/** Plays all changes, some at a time; the results are in the order of the changes. */
function playAll (): readonly Promise<Readonly<Record<string, string>>>[] {
  const lanes: Promise<unknown>[] = Array.from({ length: concurrentDeployments }, () => Promise.resolve())
  return configurationChanges.map((change, index) => {
    const lane = index % concurrentDeployments
    const played = (lanes[lane] ?? Promise.resolve()).then(() => playChange(change))
    lanes[lane] = played.catch(() => {})
    return played
  })
}

const played = playAll()

configurationChanges.forEach(({ name }, index) => {
  test(`configuration change: ${name}`, async t => {
    t.same(await played[index], {}, 'requests without an answer or a truthful refusal, by their state')
  })
})
