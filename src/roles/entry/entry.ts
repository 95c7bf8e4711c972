/** Role entry: answers callers, chooses upstreams, and tells callers which entry to use. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Server } from 'node:net'
import { prefixKey } from '../../core/caller-request.js'
import { rankEntries, type LocatableEntry } from '../../core/locate.js'
import { FirstByteTracker } from '../../core/first-byte-tracker.js'
import { Quarantine } from '../../core/quarantine.js'
import { RetryBudget } from '../../core/retry.js'
import { LeastLoad, PrefixAffinity, type NodeLocation } from '../../core/routing.js'
import { createFailure, type Failure } from '../../errors.js'
import { ConfigurationFollower } from '../../nodes/configuration-follower.js'
import { InstanceDirectory } from '../../nodes/instance-directory.js'
import type { RunningNode } from '../../nodes/running-node.js'
import { Metrics } from '../../plugins/metrics.js'
import { startTracing } from '../../plugins/tracing.js'
import { ControlClient, ControlService, serveControl, type FollowEvent, type FollowRequest, type OutcomeReply, type OutcomeRequest, type FollowSession } from '../../transports/control.js'
import { headerOf, sendFailure, sendJson, serveHttp } from '../../transports/http-server.js'
import { HttpLogClient } from '../../transports/log-client.js'
import type { FoldState } from '../../types/configuration.js'
import { headers, type LocateAnswer, type NodeDescription } from '../../types/messages.js'
import type { EntrySettings } from '../../types/settings.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { answerCaller } from './answer.js'
import { confirmNotRun } from './confirm-not-run.js'
import type { AnswerHost } from './host.js'
import { RequestJournal } from './journal.js'
import { peerPollIntervalMilliseconds, Peers } from './peers.js'
import { Upstreams } from './upstreams.js'

const log = logFor('entry')
const pruneIntervalMilliseconds = 10_000
/** Interval at which a stopping entry checks whether requests still run. */
const drainPollMilliseconds = 20
/** Time in which requests that are on their way on open connections arrive, milliseconds. */
const arrivalMilliseconds = 100

/** Lateness of a query's timeout from which the entry itself was delayed, so that the reply may have arrived unread, milliseconds. */
const ownDelayMilliseconds = 50
/** Times that a query is repeated because the entry itself was delayed. */
const maximumRepeatedQueries = 2

/** Poll intervals within which every peer has observed that this entry is stopping. */
const pollsToObserveStop = 2

/** Starts an entry; resolves once it listens on its HTTP and control addresses. */
export async function startEntry (settings: EntrySettings): Promise<RunningNode> {
  if (settings.trace === 'on') startTracing('log')
  const entry = new Entry(settings)
  await entry.start()
  return entry
}

class Entry extends ControlService implements RunningNode, AnswerHost {
  readonly policy = new PrefixAffinity(new LeastLoad())
  readonly budget = new RetryBudget()
  readonly quarantine = new Quarantine()
  readonly firstByteTracker = new FirstByteTracker()
  readonly journal = new RequestJournal()
  readonly metrics = new Metrics()
  readonly upstreams: Upstreams
  private readonly follower: ConfigurationFollower
  private readonly directory: InstanceDirectory
  private readonly peers: Peers
  private pruning: NodeJS.Timeout | undefined
  private inFlight = 0
  private leaving = false
  private isRefusing = false
  /** Epoch milliseconds until which an answer of `locate` that names this entry is valid. */
  private locatedUntil = 0
  private stopListening: () => void = () => {}
  private closeServers: () => void = () => {}

  constructor (readonly settings: EntrySettings) {
    super()
    this.directory = new InstanceDirectory(settings.instances)
    this.follower = new ConfigurationFollower({ client: new HttpLogClient(settings.log), directory: this.directory, instance: settings.instance, dataCentre: settings.dataCentre })
    this.upstreams = new Upstreams(settings, this.directory, status => { this.quarantine.recordStatus(status) })
    this.peers = new Peers(settings, this.directory)
  }

  async start (): Promise<void> {
    const http = await serveHttp(this.settings.listen, async (request, response) => { await this.handle(request, response) })
    const control = await serveControl(this.settings.control, this)
    this.follower.start()
    this.directory.start()
    this.peers.start()
    this.pruning = setInterval(() => { this.quarantine.prune(Date.now()) }, pruneIntervalMilliseconds)
    // The close method of an HTTP server also closes idle connections, on which a request may be on its way.
    this.stopListening = () => { Server.prototype.close.call(http.server) }
    this.closeServers = () => {
      http.server.closeIdleConnections()
      control.close()
    }
    log.info('the entry is serving', { instance: this.settings.instance })
  }

  /** Removes this entry from the answers of `locate`, waits until none that names it is valid, refuses new requests, and finishes the running ones. */
  async stop (): Promise<void> {
    this.leaving = true
    const { locateMilliseconds } = this.settings
    const locatedByPeersUntil = Date.now() + pollsToObserveStop * peerPollIntervalMilliseconds + locateMilliseconds
    await waitUntil(Math.max(this.locatedUntil, locatedByPeersUntil))
    this.isRefusing = true
    log.info('the entry refuses new requests and finishes the running ones', { inFlight: this.inFlight })
    await this.finishRequests()
    this.stopListening()
    await waitUntil(Date.now() + arrivalMilliseconds)
    await this.finishRequests()
    clearInterval(this.pruning)
    this.upstreams.stop()
    this.peers.stop()
    this.follower.stop()
    this.directory.stop()
    this.closeServers()
  }

  private async finishRequests (): Promise<void> {
    while (this.inFlight > 0) await waitUntil(Date.now() + drainPollMilliseconds)
  }

  get place (): NodeLocation {
    return this.settings
  }

  get mayTakeWork (): boolean {
    return this.follower.mayTakeWork()
  }

  get state (): FoldState {
    return this.follower.state
  }

  async queryOutcome (controlAddress: string, question: OutcomeRequest, deadline: number): Promise<OutcomeReply | undefined> {
    const timeout = deadline - Date.now()
    let replyBy = deadline
    for (let repeated = 0; ; repeated += 1) {
      const reply = await this.queryOutcomeOnce(controlAddress, question, replyBy)
      const lateMilliseconds = Date.now() - replyBy
      if (reply !== undefined || lateMilliseconds < ownDelayMilliseconds || repeated >= maximumRepeatedQueries) return reply
      log.warn('the entry was delayed during a query; asking the agent again', { request: question.requestId, agent: controlAddress, lateMilliseconds })
      replyBy = Date.now() + timeout
    }
  }

  private async queryOutcomeOnce (controlAddress: string, question: OutcomeRequest, deadline: number): Promise<OutcomeReply | undefined> {
    const client = new ControlClient(controlAddress, 'own')
    try {
      return await client.outcome(question, deadline)
    } catch {
      return undefined
    } finally {
      client.close()
    }
  }

  describe (): NodeDescription {
    const { state, confirmedUntil, logReachable } = this.follower
    const { instance, dataCentre } = this.settings
    return { instance, role: 'entry', dataCentre, configurationNext: state.next, revision: state.revision, confirmedUntil, logReachable, leaving: this.leaving, inFlight: this.inFlight }
  }

  follow (request: FollowRequest, send: (event: FollowEvent) => void): FollowSession {
    return this.follower.serve(request, send)
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://entry')
    const path = url.pathname.split('/').filter(part => part !== '')
    if (path[0] === 'services' && path.length === 3 && request.method === 'POST') await this.answer(request, response, path)
    else if (request.method !== 'GET') sendJson(response, 404, { error: 'no such path' })
    else this.sendReport(response, path, url.searchParams)
  }

  private async answer (request: IncomingMessage, response: ServerResponse, path: readonly string[]): Promise<void> {
    const [, service = '', operation = ''] = path
    if (this.leaving) response.setHeader('connection', 'close')
    this.inFlight += 1
    try {
      if (this.isRefusing) sendFailure(response, '', await this.confirmedRefusal(request, service, operation))
      else await answerCaller(this, request, response, service, operation)
      await responseClosed(response)
    } finally {
      this.inFlight -= 1
    }
  }

  /** Refusal of a request while this entry stops; an earlier one with the same key may have run. */
  private async confirmedRefusal (request: IncomingMessage, service: string, operation: string): Promise<Failure> {
    const keyed = { service, operation, organisation: headerOf(request, headers.organisation), idempotencyKey: headerOf(request, headers.idempotencyKey) }
    return await confirmNotRun(this, keyed, createFailure('leaving', Date.now()))
  }

  private sendReport (response: ServerResponse, path: readonly string[], query: URLSearchParams): void {
    const [kind, id] = path
    const record = kind === 'requests' ? this.journal.find(id ?? '') : undefined
    if (kind === 'locate') sendJson(response, 200, this.locate(query))
    else if (kind === 'status') sendJson(response, 200, { node: this.describe(), upstreams: this.upstreams.statuses })
    else if (record !== undefined) sendJson(response, 200, record)
    else if (kind === 'metrics') this.sendMetrics(response)
    else sendJson(response, 404, { error: kind === 'requests' ? 'no such request is kept' : 'no such path' })
  }

  private sendMetrics (response: ServerResponse): void {
    this.metrics.set('in_flight_requests', {}, this.inFlight)
    this.metrics.set('watched_upstreams', {}, this.upstreams.statuses.length)
    response.writeHead(200, { 'content-type': 'text/plain; charset=utf-8' })
    response.end(this.metrics.render())
  }

  private locate (query: URLSearchParams): LocateAnswer {
    const key = prefixKey(query.get('service') ?? '', query.get('organisation') ?? '', query.get('prefix') ?? '')
    const { listen, dataCentre, region, locateMilliseconds } = this.settings
    const self: LocatableEntry = { address: listen, dataCentre, region, leaving: this.leaving, inFlight: this.inFlight }
    const isIn = (name: string): boolean => this.state.configuration?.dataCentres[name]?.state !== 'out'
    const [address = listen, ...others] = rankEntries([self, ...this.peers.responsive], key, this.settings, isIn)
    const until = Date.now() + locateMilliseconds
    if (!this.leaving) this.locatedUntil = until
    return { address, until, others }
  }
}

/** Resolves once the answer has been sent or its connection is closed. */
function responseClosed (response: ServerResponse): Promise<void> {
  if (response.writableFinished || response.destroyed) return Promise.resolve()
  return new Promise(resolve => { response.once('close', resolve) })
}
