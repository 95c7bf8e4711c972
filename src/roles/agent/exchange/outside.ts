/** Sources outside the data centre: the origin, then the store, then peers of other data centres. */
import type { SourceView } from '../../../core/weights/fetch-plan.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import type { ExchangeMember, ExchangeOptions } from './options.js'

const originSlots = 3
const storeSlots = 1
const faultsBeforeAvoidance = 3
const avoidMilliseconds = 3000
const pauseMilliseconds = 0
/** How long the origin must give nothing before the store is asked. */
const storeAfterMilliseconds = 500
/** How long both must give nothing before links between regions are used. */
const remoteAfterMilliseconds = 3000
const remotePeers = 3
const remoteSlots = 1
const remotePauseMilliseconds = 200

interface Outside {
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
  private outside: readonly Outside[] = []
  private originGoodAt = Date.now()
  private goodAt = Date.now()

  constructor (options: ExchangeOptions) {
    const origin = options.origin === undefined ? [] : [makeOutside('origin', 'origin', options.origin, originSlots)]
    const store = options.store === undefined ? [] : [makeOutside('store', 'store', options.store, storeSlots)]
    this.outside = [...origin, ...store]
  }

  /** Takes the members of other data centres; a bounded number is asked as the last resort. */
  setRemote (key: string, members: readonly ExchangeMember[]): void {
    const chosen = rankMembers(key, members.map(member => member.instance)).slice(0, remotePeers)
    const remotes = chosen.flatMap(instance => members.filter(member => member.instance === instance))
    const kept = this.outside.filter(source => source.kind !== 'remote')
    this.outside = [...kept, ...remotes.map(member => this.find(`peer ${member.address}`) ?? makeOutside(`peer ${member.address}`, 'remote', `http://${member.address}`, remoteSlots))]
  }

  /** Sources that may be asked now, the first one first. */
  get views (): readonly SourceView[] {
    const now = Date.now()
    const latest = { origin: now, store: this.originGoodAt + storeAfterMilliseconds, remote: this.goodAt + remoteAfterMilliseconds } as const
    return this.outside.filter(source => latest[source.kind] <= now)
  }

  url (id: string): string | undefined {
    return this.find(id)?.url
  }

  noteStart (id: string): void {
    const source = this.find(id)
    if (source !== undefined) source.inFlight += 1
  }

  noteEnd (id: string): void {
    const source = this.find(id)
    if (source !== undefined) source.inFlight -= 1
  }

  noteGood (id: string): void {
    const source = this.find(id)
    if (source === undefined) return
    source.faults = 0
    if (source.kind === 'origin') this.originGoodAt = Date.now()
    if (source.kind !== 'remote') this.goodAt = Date.now()
  }

  noteBusy (id: string, backAt: number): void {
    const source = this.find(id)
    if (source !== undefined) source.retryAt = backAt
  }

  /** Blames a source; after repeated faults the next one is asked for a while. */
  noteFault (id: string): void {
    const source = this.find(id)
    if (source === undefined) return
    source.faults += 1
    const pause = source.kind === 'remote' ? remotePauseMilliseconds : pauseMilliseconds
    source.retryAt = Date.now() + (source.faults >= faultsBeforeAvoidance ? avoidMilliseconds : pause)
  }

  private find (id: string): Outside | undefined {
    return this.outside.find(source => source.id === id)
  }
}

function makeOutside (id: string, kind: Outside['kind'], url: string, slots: number): Outside {
  return { id, kind, url, slots, inFlight: 0, retryAt: 0, faults: 0 }
}
