/** Many exchanges in one process, over real HTTP on loopback: for measurements and tests of the exchange. */
import type { Server } from 'node:http'
import type { PaceView } from '../../src/core/weights/swap-pacing.js'
import type { ExchangeMember } from '../../src/roles/agent/exchange/options.js'
import { WeightExchange, type MakeFetcher } from '../../src/roles/agent/exchange/exchange.js'
import { serveHttp } from '../../src/transports/http-server.js'
import { WeightsStandIn } from '../../stand-in/weights.js'

/** Requests in flight that a warm member allows. */
export const warmLimit = 8

/** Links and size of a pool, bytes and bytes a second. */
export interface PoolSettings {
  readonly instances: number
  readonly dataCentres: number
  readonly originBytes: number
  readonly linkBytes: number
  readonly seed: number
  readonly makeFetcher?: MakeFetcher
  readonly weighting?: 'replicas' | 'service'
  readonly allowedAway?: (view: PaceView) => number
}

/** One instance of the pool. */
export interface PoolMember extends ExchangeMember {
  readonly exchange: WeightExchange
  readonly server: Server
  /** Digest that its engine serves; tests set it. */
  served: string
  inFlight: number
  limit: number
}

/** A running pool with its origin and store. */
export class Pool {
  readonly origin: WeightsStandIn
  readonly store: WeightsStandIn
  /** List that every member sees; tests replace it. */
  listed: readonly ExchangeMember[] = []
  members: readonly PoolMember[] = []
  private readonly servers: Server[] = []

  private sources: Sources = { origin: '', store: '' }

  private constructor (private readonly settings: PoolSettings) {
    this.origin = new WeightsStandIn(settings.seed)
    this.store = new WeightsStandIn(settings.seed + 1)
    this.origin.setFaults({ linkBytes: settings.originBytes })
  }

  /** Starts sources and members; nothing is wanted yet. */
  static async start (settings: PoolSettings): Promise<Pool> {
    const pool = new Pool(settings)
    const origin = await pool.origin.listen('127.0.0.1:0')
    const store = await pool.store.listen('127.0.0.1:0')
    pool.servers.push(origin.server, store.server)
    pool.sources = { origin: `http://127.0.0.1:${origin.port}`, store: `http://127.0.0.1:${store.port}` }
    for (let index = 0; index < settings.instances; index += 1) await pool.addMember(index)
    return pool
  }

  /** Closes every server and connection. */
  stop (): void {
    for (const member of this.members) this.kill(member)
    for (const server of this.servers) endServer(server)
  }

  /** Ends a member as a crash would: connections are cut, the list still names it. */
  kill (member: PoolMember): void {
    killMember(member)
  }

  /** Sets the target of every member. */
  want (manifest: string, finishBy = Date.now() + 60_000): void {
    for (const member of this.members) member.exchange.setTarget({ manifest, finishBy })
  }

  /** Starts one more member; the list names it unless `isListed` is false. */
  async addMember (index: number, isListed = true): Promise<PoolMember> {
    const member = await startMember({ ...this.settings, index, sources: this.sources, listed: () => this.listed })
    const { instance, dataCentre, address } = member
    this.members = [...this.members, member]
    if (isListed) this.listed = [...this.listed, { instance, dataCentre, address }]
    return member
  }
}

/** Base URLs of origin and store. */
export interface Sources {
  readonly origin: string
  readonly store: string
}

/** What one member needs. */
export interface MemberSettings {
  readonly index: number
  readonly dataCentres: number
  readonly linkBytes: number
  readonly sources: Sources
  readonly listed: () => readonly ExchangeMember[]
  readonly makeFetcher?: MakeFetcher
  readonly weighting?: 'replicas' | 'service'
  readonly allowedAway?: (view: PaceView) => number
}

/** Starts one member: an exchange behind its own HTTP server. */
export async function startMember (settings: MemberSettings): Promise<PoolMember> {
  const instance = `model-${settings.index}`
  const dataCentre = `data-centre-${settings.index % settings.dataCentres}`
  const holder: { member?: PoolMember } = {}
  const { server, port } = await serveHttp('127.0.0.1:0', async (request, response) => {
    const path = (request.url ?? '/').split('?')[0]?.split('/').filter(part => part !== '') ?? []
    holder.member?.exchange.handle(request, response, path)
  })
  const options = {
    instance,
    dataCentre,
    ...settings.sources,
    linkBytes: settings.linkBytes,
    members: settings.listed,
    served: () => holder.member?.served ?? '',
    pool: () => settings.listed().filter(listed => listed.dataCentre === dataCentre),
    weighting: () => settings.weighting ?? 'replicas',
    maximumUnavailable: settings.allowedAway,
    load: () => ({ inFlight: holder.member?.inFlight ?? 0, limit: holder.member?.limit ?? 0 })
  }
  const exchange = new WeightExchange(options, () => {}, settings.makeFetcher)
  const member: PoolMember = { instance, dataCentre, address: `127.0.0.1:${port}`, exchange, server, served: '', inFlight: 0, limit: warmLimit }
  holder.member = member
  return member
}

/** Ends a member as a crash would: connections are cut. */
export function killMember (member: PoolMember): void {
  member.exchange.stop()
  endServer(member.server)
}

function endServer (server: Server): void {
  server.close()
  server.closeAllConnections()
}

/** Waits until a condition holds; the cap only ends a hang. */
export async function waitFor (condition: () => boolean, capMilliseconds = 60_000): Promise<boolean> {
  const cap = Date.now() + capMilliseconds
  while (!condition()) {
    if (Date.now() > cap) return false
    await new Promise(resolve => setTimeout(resolve, 10))
  }
  return true
}
