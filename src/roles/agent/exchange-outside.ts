/** Sources outside the data centre: the origin, then the store, each with its faults and deadlines. */
import type { SourceView } from '../../core/weights/plan.js'
import type { ExchangeOptions } from './exchange-options.js'

const originSlots = 3
const storeSlots = 1
const faultsBeforeAvoidance = 3
const avoidMilliseconds = 3000
const pauseMilliseconds = 0

interface Outside {
  readonly id: string
  readonly url: string
  readonly slots: number
  inFlight: number
  backAt: number
  faults: number
}

/** The sources in the order in which they are asked. */
export class OutsideSources {
  private readonly outside: readonly Outside[]

  constructor (options: ExchangeOptions) {
    const all = [{ id: 'origin', url: options.origin, slots: originSlots }, { id: 'store', url: options.store, slots: storeSlots }]
    this.outside = all.flatMap(({ id, url, slots }) => url === undefined ? [] : [{ id, url, slots, inFlight: 0, backAt: 0, faults: 0 }])
  }

  get views (): readonly SourceView[] {
    return this.outside
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
    if (source !== undefined) source.faults = 0
  }

  noteBusy (id: string, backAt: number): void {
    const source = this.find(id)
    if (source !== undefined) source.backAt = backAt
  }

  /** Blames a source; after repeated faults the next one is asked for a while. */
  noteFault (id: string): void {
    const source = this.find(id)
    if (source === undefined) return
    source.faults += 1
    source.backAt = Date.now() + (source.faults >= faultsBeforeAvoidance ? avoidMilliseconds : pauseMilliseconds)
  }

  private find (id: string): Outside | undefined {
    return this.outside.find(source => source.id === id)
  }
}
