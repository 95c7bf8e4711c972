/** Prefix cache of the engine's stand-in: limited memory, and events that come late and with gaps. */
import { digestBytes } from '../src/utils/digest.js'

/** An event of the cache; `offset` grows, and offsets may be missing. */
export interface CacheEvent { readonly offset: number, readonly kind: 'stored' | 'evicted', readonly prefix: string, readonly at: number }

/** Characters of a prompt that one cached prefix covers. */
const prefixLength = 16

/** Digest of a prompt's first part, empty for a prompt that is too short to cache. */
export function prefixOf (prompt: string): string {
  return prompt.length < prefixLength ? '' : digestBytes(prompt.slice(0, prefixLength)).slice(0, 16)
}

/** Prefixes in the order of their last use, with their key-value state. */
export class PrefixCache {
  private readonly entries = new Map<string, string>()
  private readonly events: CacheEvent[] = []
  private next = 0

  constructor (private readonly random: () => number) {}

  has (prefix: string): boolean {
    return this.entries.has(prefix)
  }

  /** Key-value state of a prefix, to be carried to another engine. */
  state (prefix: string): string | undefined {
    return this.entries.get(prefix)
  }

  /** Stores or renews a prefix; the least recently used one makes room. `lossShare` is the probability that an event is lost. */
  store (prefix: string, state: string, size: number, lossShare: number): void {
    if (prefix === '') return
    const known = this.entries.delete(prefix)
    this.entries.set(prefix, state)
    if (!known) this.publish('stored', prefix, lossShare)
    if (this.entries.size <= size) return
    const [oldest = ''] = this.entries.keys()
    this.entries.delete(oldest)
    this.publish('evicted', oldest, lossShare)
  }

  /** Events from an offset on that are at least `lagMilliseconds` old. */
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
