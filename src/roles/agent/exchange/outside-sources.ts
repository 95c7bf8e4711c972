/** Sources outside the data centre: the origin, then the store, then peers of other data centres. */
import type { SourceView } from '../../../core/weights/fetch-plan.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import type { ExchangeMember, ExchangeOptions } from './options.js'

const originSlots = 3
const storeSlots = 1
const faultsBeforeAvoidance = 3
const avoidanceMilliseconds = 3000
const faultPauseMilliseconds = 0
/** How long the origin must give nothing before the store is asked. */
const storeAfterMilliseconds = 500
/** How long both must give nothing before links between regions are used. */
const remoteAfterMilliseconds = 3000
const remotePeers = 3
const remoteSlots = 1
const remoteFaultPauseMilliseconds = 200

interface OutsideSource {
  readonly id: string
  readonly url: string
  readonly slots: number
  readonly kind: 'origin' | 'store' | 'remote'
  inFlight: number
  retryAt: number
  faults: number
}

/** The sources in the order in which they are asked. */
export class OutsideSources {
  private sources: readonly OutsideSource[] = []
  private originSucceededAt = Date.now()
  private succeededAt = Date.now()

  constructor (options: ExchangeOptions) {
    const origin = options.origin === undefined ? [] : [createSource('origin', 'origin', options.origin, originSlots)]
    const store = options.store === undefined ? [] : [createSource('store', 'store', options.store, storeSlots)]
    this.sources = [...origin, ...store]
  }

  /** Takes the members of other data centres; a bounded number is asked as the last resort. */
  setRemoteMembers (key: string, members: readonly ExchangeMember[]): void {
    const chosen = rankMembers(key, members.map(member => member.instance)).slice(0, remotePeers)
    const remotes = chosen.flatMap(instance => members.filter(member => member.instance === instance))
    const nearerSources = this.sources.filter(source => source.kind !== 'remote')
    this.sources = [...nearerSources, ...remotes.map(member => this.find(`peer ${member.address}`) ?? createSource(`peer ${member.address}`, 'remote', `http://${member.address}`, remoteSlots))]
  }

  /** Sources that may be asked now, the first one first. */
  get views (): readonly SourceView[] {
    const now = Date.now()
    const availableFrom = { origin: now, store: this.originSucceededAt + storeAfterMilliseconds, remote: this.succeededAt + remoteAfterMilliseconds } as const
    return this.sources.filter(source => availableFrom[source.kind] <= now)
  }

  url (id: string): string | undefined {
    return this.find(id)?.url
  }

  recordStart (id: string): void {
    const source = this.find(id)
    if (source !== undefined) source.inFlight += 1
  }

  recordEnd (id: string): void {
    const source = this.find(id)
    if (source !== undefined) source.inFlight -= 1
  }

  recordSuccess (id: string): void {
    const source = this.find(id)
    if (source === undefined) return
    source.faults = 0
    if (source.kind === 'origin') this.originSucceededAt = Date.now()
    if (source.kind !== 'remote') this.succeededAt = Date.now()
  }

  recordBusy (id: string, backAt: number): void {
    const source = this.find(id)
    if (source !== undefined) source.retryAt = backAt
  }

  /** Blames a source; after repeated faults the next one is asked for a while. */
  recordFault (id: string): void {
    const source = this.find(id)
    if (source === undefined) return
    source.faults += 1
    const pause = source.kind === 'remote' ? remoteFaultPauseMilliseconds : faultPauseMilliseconds
    source.retryAt = Date.now() + (source.faults >= faultsBeforeAvoidance ? avoidanceMilliseconds : pause)
  }

  private find (id: string): OutsideSource | undefined {
    return this.sources.find(source => source.id === id)
  }
}

function createSource (id: string, kind: OutsideSource['kind'], url: string, slots: number): OutsideSource {
  return { id, kind, url, slots, inFlight: 0, retryAt: 0, faults: 0 }
}
