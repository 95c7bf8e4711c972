/**
 * Which records of a stream were seen at which offsets. After the log came back from an older copy, a record that was there
 * before is told from one that was written since: an old state must not replace the one that is in force.
 */
import { digestBytes } from '../utils/digest.js'
import type { LogPosition } from './log-position.js'

/** Records of one key that are remembered: more than an instance writes in the seconds that a copy may be old. */
const maximumPerKey = 32

/** A record as far as the history needs it. */
interface SeenRecord extends LogPosition {
  readonly key: string
  readonly value: Buffer | undefined
}

interface SeenValue { readonly offset: number, readonly digest: string }

/** Last records of each key of one stream. */
export class RecordHistory {
  private readonly seen = new Map<string, readonly SeenValue[]>()

  /** Remembers a record. */
  add ({ key, value, offset }: SeenRecord): void {
    const known = this.seen.get(key) ?? []
    this.seen.set(key, [...known.slice(1 - maximumPerKey), { offset, digest: digestOf(value) }])
  }

  /** Whether this value of the key was seen at this offset: a copy of the log keeps the offsets of what it holds. */
  has ({ key, value, offset }: SeenRecord): boolean {
    const known = this.seen.get(key)?.filter(seen => seen.offset === offset) ?? []
    return known.length > 0 && known.some(({ digest }) => digest === digestOf(value))
  }
}

function digestOf (value: Buffer | undefined): string {
  return value === undefined ? '' : digestBytes(value)
}
