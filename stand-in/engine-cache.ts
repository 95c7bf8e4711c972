/** Prefix cache of the stand-in engine: a limited number of prefixes, and events that are delayed and may be lost. */
import { digestBytes } from '../src/utils/digest.js'

/** A change of the cache. Offsets increase; the offset of a lost event is missing. `at` is in epoch milliseconds. */
export interface CacheEvent { readonly offset: number, readonly kind: 'stored' | 'evicted', readonly prefix: string, readonly at: number }

/** Characters of a prompt that one cached prefix covers. */
const prefixLength = 16

/** First 16 hexadecimal digits of the digest of a prompt's first 16 characters; empty for a prompt that is too short to cache. */
export function prefixOf (prompt: string): string {
  return prompt.length < prefixLength ? '' : digestBytes(prompt.slice(0, prefixLength)).slice(0, 16)
}

/** Cached prefixes with their key-value state, in the order in which they were last stored. */
export class PrefixCache {
  private readonly entries = new Map<string, string>()
  private readonly events: CacheEvent[] = []
  private next = 0

  constructor (private readonly random: () => number) {}

  has (prefix: string): boolean {
    return this.entries.has(prefix)
  }

  /** Key-value state of a prefix, for transfer to another engine; undefined when it is not cached. */
  state (prefix: string): string | undefined {
    return this.entries.get(prefix)
  }

  /** Stores or refreshes a prefix; beyond `size` prefixes, evicts the one stored least recently. `lossShare` is the probability that an event is lost. */
  store (prefix: string, state: string, size: number, lossShare: number): void {
    if (prefix === '') return
    const isKnown = this.entries.delete(prefix)
    this.entries.set(prefix, state)
    if (!isKnown) this.publish('stored', prefix, lossShare)
    if (this.entries.size <= size) return
    const [oldest = ''] = this.entries.keys()
    this.entries.delete(oldest)
    this.publish('evicted', oldest, lossShare)
  }

  /** Events from the offset `from` on that are at least `lagMilliseconds` old. */
  eventsFrom (from: number, lagMilliseconds: number): { readonly next: number, readonly events: readonly CacheEvent[] } {
    const visible = Date.now() - lagMilliseconds
    const events = this.events.filter(event => event.offset >= from && event.at <= visible)
    return { next: (events.at(-1)?.offset ?? from - 1) + 1, events }
  }

  clear (): void {
    this.entries.clear()
  }

  private publish (kind: CacheEvent['kind'], prefix: string, lossShare: number): void {
    const event: CacheEvent = { offset: this.next, kind, prefix, at: Date.now() }
    this.next += 1
    if (this.random() >= lossShare) this.events.push(event)
  }
}
