/** One request, sent again and again, that ends each upstream which runs it, before eight entries. */
import { request, type ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import type { Test } from 'tap'
import { monotonicNow } from '../../src/utils/clock.js'
import { seededRandom } from '../../src/utils/random.js'
import { CrashingUpstreams, UpstreamEnding, type LastSign } from './crashing-upstreams.js'
import { startEntries, type GroupedEntry } from './entry-group.js'
import { SharedLog } from './shared-log.js'

/** The stated rule: at most three repeats of such a request may reach upstreams later than `stable` after the third end. */
const rule = { ends: 3, stableMilliseconds: 3000, requests: 3 } as const
/** The goal of the project: upstreams that one request ends. */
const goalEnds = 8
/** Lowest share of healthy requests answered completely from twice the stable time after the third end on. */
const minimumServedShare = 0.99
const badIntervalMilliseconds = 300
const healthyPerSecond = 12
const observedMilliseconds = 14_000
/** Time for which requests go on once the rule applies, however late the third end was, and longest time of a case, milliseconds. */
const [settledMilliseconds, maximumObservedMilliseconds] = [1000, 20_000] as const
/** Time for which an ended upstream is away, and for which its record remains, milliseconds. */
const [restartMilliseconds, recordLapseMilliseconds] = [3500, 1500] as const
const dataCentre = 'zone-a'
const badTarget = '/r/bad'

/** Sends a stream's head and some events, and ends later. */
export class EndsWithinStream extends UpstreamEnding {
  constructor (private readonly events: number, private readonly milliseconds: number, private readonly lastSign: LastSign = 'reset') {
    super()
  }

  async run (response: ServerResponse, id: string): Promise<LastSign> {
    response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': id }).flushHeaders()
    for (let number = 1; number <= this.events; number += 1) response.write(`id: ${number}\ndata: text\n\n`)
    await delay(this.milliseconds)
    return this.lastSign
  }
}

/** Sends half of an answer with a length, and ends. */
export class EndsWithinBody extends UpstreamEnding {
  async run (response: ServerResponse, id: string): Promise<LastSign> {
    response.writeHead(200, { 'x-server-stamp': 'stamp', 'x-attempt-id': id, 'content-length': '100' }).write('x'.repeat(50))
    await delay(100)
    return 'reset'
  }
}

/** Sends a complete error, and ends a moment later. */
export class EndsAfterError extends UpstreamEnding {
  async run (response: ServerResponse, id: string): Promise<LastSign> {
    await delay(100)
    response.writeHead(500, { 'x-server-stamp': 'stamp', 'x-attempt-id': id, 'content-length': '5' }).end('error')
    await delay(5)
    return 'reset'
  }
}

/** How upstreams end, and what they serve. */
export interface CrashingRequestCase {
  readonly name: string
  readonly ending: UpstreamEnding
  readonly kind: 'safe' | 'unsafe' | 'stream'
  readonly isResumable?: boolean
  readonly upstreams?: number
}

interface CallerResult { readonly sentAt: number, readonly status: number, readonly isComplete: boolean }

/** Sends a request to an entry and receives what it answers; `body` is undefined for the bad one, which is always the same. */
function send (entry: GroupedEntry, id: string, isBad: boolean, callerMilliseconds: number): Promise<CallerResult> {
  const [host = '', port = ''] = entry.callers.split(':')
  const sentAt = monotonicNow()
  return new Promise(resolve => {
    const fail = (): void => { resolve({ sentAt, status: 0, isComplete: false }) }
    const headers = { host: 'a.example', authorization: 'Token key-a', 'x-attempt-id': id, 'x-deadline-ms': String(callerMilliseconds), 'x-prompt-prefix': `aa:40,${isBad ? 'bad' : id}:100` }
    const outgoing = request({ host, port, method: 'POST', path: isBad ? badTarget : `/r/${id}`, agent: false, headers }, answer => {
      answer.resume()
      answer.on('end', () => { resolve({ sentAt, status: answer.statusCode ?? 0, isComplete: answer.complete }) })
      answer.on('error', fail)
    })
    outgoing.on('error', fail)
    outgoing.end(isBad ? 'the same body' : `body of ${id}`)
  })
}

/** A log with the configuration of one route. */
function logWith ({ kind, isResumable = true }: CrashingRequestCase, callerMilliseconds: number): SharedLog {
  const log = new SharedLog(dataCentre)
  log.append('operators', 'config', Buffer.from(JSON.stringify({
    version: 1,
    routes: [{ name: 'r', host: 'a.example', 'path-prefix': '/r/', 'route-type': kind, resumable: isResumable, 'timeout-ms': callerMilliseconds, 'latency-goal-ms': 400, priority: 1, 'max-attempts': 2, service: 'servers' }],
    services: [{ name: 'servers', 'max-conns': 200 }],
    tenants: [{ name: 'organisation-a', 'api-keys': ['key-a'] }]
  })))
  return log
}

/** Twice the stable time after the third end, milliseconds of the monotonic clock. */
function settledTime (endTimes: readonly number[]): number {
  return (endTimes[rule.ends - 1] ?? 0) + 2 * rule.stableMilliseconds
}

/** Plays one case and checks what reached the upstreams and what callers got. */
export async function checkCrashingRequest (t: Test, testCase: CrashingRequestCase): Promise<void> {
  const { ending, kind, upstreams: count = kind === 'stream' ? 11 : 3 } = testCase
  const random = seededRandom(1)
  const callerMilliseconds = kind === 'stream' ? 6000 : 1500
  const log = logWith(testCase, callerMilliseconds)
  const upstreams = new CrashingUpstreams(count, {
    causesOf: incoming => incoming.url === badTarget ? [badTarget] : [],
    ending,
    isStream: kind === 'stream',
    firstEventMilliseconds: 60,
    eventMilliseconds: 60,
    events: 6,
    restartMilliseconds,
    recordLapseMilliseconds,
    writeRecord: (id, address, startedAt) => {
      log.append('instances', id, address === undefined ? undefined : Buffer.from(JSON.stringify({ service: 'servers', address, zone: dataCentre, state: 'ready', slots: 8, born: startedAt })))
    }
  })
  await upstreams.start()
  const entries = await startEntries(log, [dataCentre], 8)
  await delay(1500)
  const startedAt = monotonicNow()
  const isOver = (): boolean => {
    const elapsed = monotonicNow() - startedAt
    if (elapsed < observedMilliseconds) return false
    return elapsed >= maximumObservedMilliseconds || monotonicNow() >= settledTime(upstreams.endTimesOf(badTarget)) + settledMilliseconds
  }
  const sendEach = async (milliseconds: number, kindOf: 'bad' | 'healthy'): Promise<readonly CallerResult[]> => {
    const results: Promise<CallerResult>[] = []
    for (let number = 0; !isOver(); number += 1) {
      const entry = entries[Math.floor(random() * entries.length)]
      if (entry !== undefined) results.push(send(entry, `${kindOf}-${number}`, kindOf === 'bad', callerMilliseconds))
      await delay(milliseconds)
    }
    return await Promise.all(results)
  }
  const [healthy, bad] = await Promise.all([sendEach(1000 / healthyPerSecond, 'healthy'), sendEach(badIntervalMilliseconds, 'bad')])
  upstreams.stop()
  await Promise.all(entries.map(({ node }) => node.stop()))

  const endTimes = upstreams.endTimesOf(badTarget)
  const late = upstreams.arrivalsAfter(badTarget, (endTimes[rule.ends - 1] ?? Infinity) + rule.stableMilliseconds)
  t.ok(late <= rule.requests, `at most ${rule.requests} repeats reach upstreams later than ${rule.stableMilliseconds} ms after the third end: ${late}`)
  t.ok(endTimes.length >= rule.ends && endTimes.length <= goalEnds, `at most ${goalEnds} upstreams end: ${endTimes.length}`)
  const settledAt = settledTime(endTimes)
  const settled = healthy.filter(({ sentAt }) => sentAt >= settledAt)
  const served = settled.filter(({ status, isComplete }) => status === 200 && isComplete).length
  t.ok(settled.length > 0 && served >= settled.length * minimumServedShare, `healthy requests are served: ${served} of ${settled.length}`)
  const statuses = [...new Set(bad.filter(({ sentAt }) => sentAt >= settledAt).map(({ status }) => status))].join()
  t.equal(statuses, '503', 'the request is refused as not run')
}
