/** Sources outside the data centre in order of preference: the origin, the store, peers of other data centres. */
import type { SourceView } from '../../../core/weights/fetch-plan.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import type { ExchangeMember, ExchangeOptions } from './options.js'

/** Concurrent fetches from each kind of source. */
const originSlots = 3
const storeSlots = 1
/** Consecutive faults after which a source is avoided. */
const faultsBeforeAvoidance = 3
/** How long such a source is avoided. */
const avoidanceMilliseconds = 3000
/** Pause after a single fault of the origin or the store. */
const faultPauseMilliseconds = 0
/** Time without a success of the origin after which the store is used. */
const storeAfterMilliseconds = 500
/** Time without a success of origin and store after which peers of other data centres are used: their links may cross regions. */
const remoteAfterMilliseconds = 3000
/** Peers of other data centres that are used. */
const remotePeers = 3
const remoteSlots = 1
/** Pause after a single fault of such a peer. */
const remoteFaultPauseMilliseconds = 200

interface OutsideSource {
  readonly id: string
  readonly url: string
  /** Maximum of concurrent fetches. */
  readonly slots: number
  readonly kind: 'origin' | 'store' | 'remote'
  inFlight: number
  /** Epoch milliseconds before which nothing is requested from it. */
  retryAt: number
  /** Consecutive faults. */
  faults: number
}

/** State of the sources, in order of preference. */
export class OutsideSources {
  private sources: readonly OutsideSource[] = []
  private originSucceededAt = Date.now()
  private succeededAt = Date.now()

  constructor (options: ExchangeOptions) {
    const origin = options.origin === undefined ? [] : [createSource('origin', 'origin', options.origin, originSlots)]
    const store = options.store === undefined ? [] : [createSource('store', 'store', options.store, storeSlots)]
    this.sources = [...origin, ...store]
  }

  /** Replaces the members of other data centres; a few of them, chosen by rendezvous hashing with `key`, serve as the last resort. */
  setRemoteMembers (key: string, members: readonly ExchangeMember[]): void {
    const chosen = rankMembers(key, members.map(member => member.instance)).slice(0, remotePeers)
    const remotes = chosen.flatMap(instance => members.filter(member => member.instance === instance))
    const nearerSources = this.sources.filter(source => source.kind !== 'remote')
    this.sources = [...nearerSources, ...remotes.map(member => this.find(`peer ${member.address}`) ?? createSource(`peer ${member.address}`, 'remote', `http://${member.address}`, remoteSlots))]
  }

  /** Sources that are eligible now, in order of preference. */
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

  recordBusy (id: string, retryAt: number): void {
    const source = this.find(id)
    if (source !== undefined) source.retryAt = retryAt
  }

  /** Records a failed fetch; repeated faults make the next source take over for a while. */
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
