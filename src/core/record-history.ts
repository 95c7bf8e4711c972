/** Digests of the records that were seen at the last offsets of a stream, to find the first one that another era has not kept. */
import type { KeyedRecord } from '../types/ports.js'
import { digestBytes } from '../utils/digest.js'

/** Offsets that are remembered: more than are written in the seconds that a copy of the log may be old. */
const maximumOffsets = 1024

/** The latest era before that of a record in which its offset was seen, and whether the same record was there. */
export interface SeenBefore { readonly era: number, readonly isSame: boolean }

interface SeenRecord { readonly era: number, readonly digest: string }

/** Records by offset; at each one, that of the latest era in which it was seen. */
export class RecordHistory {
  private readonly seen = new Map<number, SeenRecord>()

  add (record: KeyedRecord): void {
    const { offset, era } = record
    const known = this.seen.get(offset)
    if (known !== undefined && known.era >= era) return
    this.seen.delete(offset)
    this.seen.set(offset, { era, digest: digestOf(record) })
    const [oldest] = this.seen.keys()
    if (this.seen.size > maximumOffsets && oldest !== undefined) this.seen.delete(oldest)
  }

  /** What was seen at the offset of a record in an earlier era; undefined if nothing was. */
  compare (record: KeyedRecord): SeenBefore | undefined {
    const known = this.seen.get(record.offset)
    return known === undefined || known.era >= record.era ? undefined : { era: known.era, isSame: known.digest === digestOf(record) }
  }

  /** Lowest offset from `from` on that is remembered; undefined for none. */
  firstFrom (from: number): number | undefined {
    const offsets = [...this.seen.keys()].filter(offset => offset >= from)
    return offsets.length === 0 ? undefined : Math.min(...offsets)
  }
}

function digestOf ({ key, value }: KeyedRecord): string {
  return `${value === undefined ? 'removed' : digestBytes(value)} ${key}`
}
