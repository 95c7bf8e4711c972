/** Role agent: the one process in an upstream's slot; everything for that upstream passes through it. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { coldBearing, noteAnswer, type Bearing } from '../../core/admission.js'
import { wantedWeights } from '../../core/configuration/resolve.js'
import { fail, type Failure } from '../../errors.js'
import { ConfigurationFollower } from '../../nodes/configuration-follower.js'
import { InstanceDirectory } from '../../nodes/instance-directory.js'
import type { RunningNode } from '../../nodes/running-node.js'
import { ControlService, serveControl, type FollowEvent, type FollowRequest, type ServedFollow, type WatchRequest } from '../../transports/control.js'
import { sendJson, serveHttp } from '../../transports/http-server.js'
import { HttpLogClient } from '../../transports/log-client.js'
import type { Service } from '../../types/configuration.js'
import type { AgentState, AgentStatus, NodeDescription } from '../../types/messages.js'
import type { AgentSettings } from '../../types/settings.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import { membersWanting } from './exchange-members.js'
import type { ExchangeLoad, ExchangeMember } from './exchange-options.js'
import { WeightExchange } from './exchange.js'
import { Orders } from './orders.js'
import { relay, type RelayHost } from './relay.js'

const log = logFor('agent')
const retryMilliseconds = 500
const heartbeatMilliseconds = 500
const drainMilliseconds = 60_000

/** Starts an agent; resolves once both addresses are served. */
export async function startAgent (settings: AgentSettings): Promise<RunningNode> {
  const agent = new Agent(settings)
  await agent.start()
  return agent
}

class Agent extends ControlService implements RunningNode, RelayHost {
  private readonly incarnation = randomUUID()
  private readonly follower: ConfigurationFollower
  private readonly directory: InstanceDirectory
  private readonly exchange: WeightExchange
  private readonly orders: Orders
  private bearing: Bearing | undefined
  private inFlight = 0
  private leaving = false
  private readonly watchers = new Set<(status: AgentStatus) => void>()
  private heartbeat: NodeJS.Timeout | undefined
  private closeAll: () => void = () => {}

  constructor (private readonly settings: AgentSettings) {
    super()
    const client = new HttpLogClient(settings.log)
    this.directory = new InstanceDirectory(settings.instances)
    this.follower = new ConfigurationFollower({ client, directory: this.directory, instance: settings.instance, dataCentre: settings.dataCentre })
    const members = (manifest: string): readonly ExchangeMember[] => membersWanting(this.follower.state, settings.service, this.directory.instances, manifest)
    const load = (): ExchangeLoad => ({ inFlight: this.inFlight, limit: this.status.limit })
    this.exchange = new WeightExchange({ ...settings, origin: settings.origin, store: settings.store, members, load, served: () => this.orders.served }, () => { this.publish() })
    const source = `http://${settings.listen}/local`
    this.orders = new Orders({ instance: settings.instance, incarnation: this.incarnation, upstream: settings.upstream, source }, client, this.exchange, restarted => { this.engineChanged(restarted) })
  }

  async start (): Promise<void> {
    const http = await serveHttp(this.settings.listen, async (request, response) => { await this.handle(request, response) })
    const control = await serveControl(this.settings.control, this)
    this.follower.onChange(() => { this.retarget() })
    this.directory.onChange(() => { this.retarget() })
    this.follower.start()
    this.directory.start()
    if (this.settings.origin !== undefined) this.orders.start()
    this.heartbeat = setInterval(() => { this.publish() }, heartbeatMilliseconds)
    this.closeAll = () => {
      http.server.close()
      control.close()
    }
    log.info('the agent serves', { instance: this.settings.instance })
  }

  async stop (): Promise<void> {
    this.leaving = true
    this.publish()
    const deadline = Date.now() + drainMilliseconds
    while (this.inFlight > 0 && Date.now() < deadline) await waitUntil(Date.now() + 20)
    clearInterval(this.heartbeat)
    this.orders.stop()
    this.exchange.stop()
    this.follower.stop()
    this.directory.stop()
    this.closeAll()
  }

  get upstream (): string {
    return this.settings.upstream
  }

  get kind (): 'model' | 'plain' {
    return this.service?.kind ?? 'plain'
  }

  admit (weights: string): Failure | undefined {
    const retryAt = Date.now() + retryMilliseconds
    const service = this.service
    if (service === undefined) return fail('no-configuration', retryAt)
    const state = this.agentState
    if (state === 'out') return fail('data-centre-out', retryAt)
    if (state === 'leaving') return fail('leaving', retryAt)
    if (!this.follower.mayTakeWork()) return fail('isolated', retryAt)
    if (state === 'closed' || (service.kind === 'model' && weights !== this.orders.served)) return fail('closed', retryAt)
    this.bearing ??= coldBearing(service)
    if (this.inFlight >= this.bearing.limit) return fail('busy', retryAt)
    this.inFlight += 1
    this.publish()
    return undefined
  }

  release (firstByteMilliseconds: number | undefined): void {
    const service = this.service
    if (service !== undefined && this.bearing !== undefined && firstByteMilliseconds !== undefined) {
      this.bearing = noteAnswer(this.bearing, service, firstByteMilliseconds, this.inFlight)
    }
    this.inFlight -= 1
    this.publish()
  }

  describe (): NodeDescription {
    const { state, confirmedUntil, logReachable } = this.follower
    const { instance, dataCentre } = this.settings
    return { instance, role: 'agent', dataCentre, configurationNext: state.next, revision: state.revision, confirmedUntil, logReachable, leaving: this.leaving, inFlight: this.inFlight }
  }

  follow (request: FollowRequest, send: (event: FollowEvent) => void): ServedFollow {
    return this.follower.serve(request, send)
  }

  override watch (_request: WatchRequest, send: (status: AgentStatus) => void): () => void {
    this.watchers.add(send)
    send(this.status)
    return () => { this.watchers.delete(send) }
  }

  private get service (): Service | undefined {
    return this.follower.state.configuration?.services[this.settings.service]
  }

  private get agentState (): AgentState {
    if (this.leaving) return 'leaving'
    const configuration = this.follower.state.configuration
    if (configuration?.dataCentres[this.settings.dataCentre]?.state !== 'in') return 'out'
    if (this.service?.kind === 'model' && this.orders.served === '') return 'closed'
    return 'open'
  }

  private get status (): AgentStatus {
    const { instance, dataCentre, service, listen } = this.settings
    const { manifest, held, total } = this.exchange.progress
    return {
      instance,
      incarnation: this.incarnation,
      dataCentre,
      service,
      state: this.agentState,
      weights: this.orders.served,
      limit: this.bearing?.limit ?? this.service?.coldBound ?? 0,
      inFlight: this.inFlight,
      waiting: 0,
      cold: this.bearing?.cold ?? true,
      configurationNext: this.follower.state.next,
      address: listen,
      wanted: manifest,
      chunksHeld: held,
      chunksTotal: total,
      suspects: []
    }
  }

  private publish (): void {
    const status = this.status
    for (const send of this.watchers) send(status)
  }

  private engineChanged (restarted: boolean): void {
    if (restarted && this.service !== undefined) this.bearing = coldBearing(this.service)
    this.publish()
  }

  private retarget (): void {
    const { configuration, revisions } = this.follower.state
    if (configuration !== undefined && this.service?.kind === 'model') {
      const { service, dataCentre, instance } = this.settings
      const members = this.directory.instances.filter(listed => listed.service === service && listed.dataCentre === dataCentre && listed.state === 'live')
      this.exchange.want(wantedWeights(configuration, revisions, service, dataCentre, instance, members.map(listed => listed.instance)))
    }
    this.publish()
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '/').split('?')[0]?.split('/').filter(part => part !== '') ?? []
    if (path[0] === 'run' && request.method === 'POST') await relay(this, request, response, path[1] ?? '')
    else if (path[0] === 'weights' || path[0] === 'chunks' || path[0] === 'local') this.exchange.handle(request, response, path)
    else if (path[0] === 'status') sendJson(response, 200, this.status)
    else sendJson(response, 404, { error: 'no such path' })
  }
}
