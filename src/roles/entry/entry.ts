/** Role entry: answers callers, chooses upstreams, and says which entry to use. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Quarantine } from '../../core/quarantine.js'
import { RetryBudget } from '../../core/retry.js'
import { LeastLoad, PrefixAffinity, type Place } from '../../core/routing.js'
import { ConfigurationFollower } from '../../nodes/configuration-follower.js'
import { InstanceDirectory } from '../../nodes/instance-directory.js'
import type { RunningNode } from '../../nodes/running-node.js'
import { Metrics } from '../../plugins/metrics.js'
import { ControlClient, ControlService, serveControl, type FollowEvent, type FollowRequest, type OutcomeReply, type OutcomeRequest } from '../../transports/control.js'
import { sendJson, serveHttp } from '../../transports/http-server.js'
import { HttpLogClient } from '../../transports/log-client.js'
import type { FoldState } from '../../types/configuration.js'
import type { Located, NodeDescription } from '../../types/messages.js'
import type { EntrySettings } from '../../types/settings.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { rankMembers } from '../../utils/rendezvous.js'
import { answerCaller } from './answer.js'
import type { AnswerHost } from './host.js'
import { RequestJournal } from './journal.js'
import { Upstreams } from './upstreams.js'

const log = logFor('entry')
const drainMilliseconds = 60_000

/** Starts an entry; resolves once both addresses are served. */
export async function startEntry (settings: EntrySettings): Promise<RunningNode> {
  const entry = new Entry(settings)
  await entry.start()
  return entry
}

class Entry extends ControlService implements RunningNode, AnswerHost {
  private readonly follower: ConfigurationFollower
  private readonly directory: InstanceDirectory
  readonly upstreams: Upstreams
  readonly policy = new PrefixAffinity(new LeastLoad())
  readonly budget = new RetryBudget()
  readonly quarantine = new Quarantine()
  readonly journal = new RequestJournal()
  readonly metrics = new Metrics()
  private inFlight = 0
  private leaving = false
  private closeAll: () => void = () => {}

  constructor (readonly settings: EntrySettings) {
    super()
    this.follower = new ConfigurationFollower(new HttpLogClient(settings.log))
    this.directory = new InstanceDirectory(settings.instances)
    this.upstreams = new Upstreams(settings, this.directory, status => { this.quarantine.hear(status) })
  }

  async start (): Promise<void> {
    const http = await serveHttp(this.settings.listen, async (request, response) => { await this.handle(request, response) })
    const control = await serveControl(this.settings.control, this)
    this.follower.start()
    this.directory.start()
    this.closeAll = () => {
      http.server.close()
      control.close()
    }
    log.info('the entry serves', { instance: this.settings.instance })
  }

  async stop (): Promise<void> {
    this.leaving = true
    await waitUntil(Date.now() + this.settings.locateMilliseconds)
    const deadline = Date.now() + drainMilliseconds
    while (this.inFlight > 0 && Date.now() < deadline) await waitUntil(Date.now() + 20)
    this.upstreams.stop()
    this.follower.stop()
    this.directory.stop()
    this.closeAll()
  }

  get place (): Place {
    return this.settings
  }

  get mayTakeWork (): boolean {
    return true
  }

  async ask (controlAddress: string, question: OutcomeRequest, deadline: number): Promise<OutcomeReply | undefined> {
    const client = new ControlClient(controlAddress, 'own')
    try {
      return await client.outcome(question, deadline)
    } catch {
      return undefined
    } finally {
      client.close()
    }
  }

  get state (): FoldState {
    return this.follower.state
  }

  describe (): NodeDescription {
    const { state, confirmedUntil, logReachable } = this.follower
    const { instance, dataCentre } = this.settings
    return { instance, role: 'entry', dataCentre, configurationNext: state.next, revision: state.revision, confirmedUntil, logReachable, leaving: this.leaving, inFlight: this.inFlight }
  }

  follow (_request: FollowRequest, send: (event: FollowEvent) => void): () => void {
    send({ records: [], node: this.describe(), first: this.follower.state.next })
    return () => {}
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://entry')
    const path = url.pathname.split('/').filter(part => part !== '')
    const [kind, service, operation] = path
    if (kind === 'services' && service !== undefined && operation !== undefined && request.method === 'POST') {
      this.inFlight += 1
      await answerCaller(this, request, response, service, operation).finally(() => { this.inFlight -= 1 })
    } else if (kind === 'locate') sendJson(response, 200, this.locate(url.searchParams.get('organisation') ?? ''))
    else if (kind === 'status') sendJson(response, 200, { node: this.describe(), upstreams: this.upstreams.statuses })
    else sendJson(response, 404, { error: 'no such path' })
  }

  private locate (organisation: string): Located {
    const entries = this.directory.instances.filter(listed => listed.role === 'entry' && listed.state === 'live' && !(this.leaving && listed.instance === this.settings.instance))
    const ranked = rankMembers(organisation, entries.map(listed => listed.address))
    return { address: ranked[0] ?? this.settings.listen, until: Date.now() + this.settings.locateMilliseconds, others: ranked.slice(1) }
  }
}
