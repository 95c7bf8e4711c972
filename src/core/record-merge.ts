/**
 * Which record of each key is in force, from reads of several eras. When the log comes back from an older copy, what was written
 * after the copy is missing until its writers write it again. Meanwhile it stays in force, unless a record was written since: one
 * that was not seen before, or whose offset cannot belong to the copy.
 */
import type { KeyedRecord, ReadRecords } from '../types/ports.js'
import { StreamEras, type EraReport } from './stream-eras.js'
import { beforeLog, type LogPosition } from './log-position.js'
import { RecordHistory, type SeenBefore } from './record-history.js'

/** Time since the start of an era for which a record of an earlier one stays in force, milliseconds: where the log has none of its key, and where it has an older one. */
export interface LostRetention { readonly missing: number, readonly older: number }

/** What a merge takes from a read. */
export interface MergedRead extends Pick<ReadRecords, 'records' | 'next'> {
  /** Newest record of each key; records from some offset on; or records from before the end of a new era, which show where it differs from the one before. */
  readonly kind: 'everything' | 'following' | 'comparison'
  readonly isFromLog: boolean
}

/** Records of one key. `earlier` is of an earlier era and in force as long as it is set; `stored` is the newest one that was read in this era. */
interface KeyRecords {
  readonly earlier?: KeyedRecord
  readonly stored?: KeyedRecord
}

/** A record with what is known of its origin. */
interface ReadRecord {
  readonly record: KeyedRecord
  readonly seenBefore: SeenBefore | undefined
  /** Offset of the record of its key that the sender does not let replace one of an earlier era; undefined for none. */
  readonly heldOffset: number | undefined
  /** Whether it was read for comparison: that it was not seen before does not mean that it is new. */
  readonly isComparison: boolean
}

/** Offsets before the end of what was read that a later era is compared with. */
const comparedOffsets = 512

/** Records of one stream. Methods return the records that have come into force; times are milliseconds of the monotonic clock. */
export class RecordMerge {
  private readonly byKey = new Map<string, KeyRecords>()
  /** Keys with a record of an earlier era. */
  private readonly held = new Set<string>()
  private readonly history = new RecordHistory()
  private readonly eras = new StreamEras()
  private era = beforeLog.era
  /** Offset up to which this era was read. */
  private end = 0
  private changes = 0
  /** Whether less is known to be shared with earlier eras since the held keys were last compared. */
  private isLessShared = false

  constructor (private readonly retention: LostRetention) {}

  /** Whether any record was read. */
  get isEmpty (): boolean {
    return this.byKey.size === 0
  }

  /** All records, including removed keys, and two of a key where an earlier one is held: another node that receives them comes to the same result. */
  get records (): readonly KeyedRecord[] {
    return [...this.byKey.values()].flatMap(({ earlier, stored }) => [...earlier === undefined ? [] : [earlier], ...stored === undefined ? [] : [stored]])
  }

  /** Number of keys that have a record of an earlier era. */
  get heldCount (): number {
    return this.held.size
  }

  /** Offset before which this era may have the same records as the one before it; infinite where nothing is known. */
  get sharedEnd (): number {
    return this.eras.sharedEnd(this.era - 1, this.era)
  }

  /** Number of changes of `records` and of what is known of eras so far. */
  get revision (): number {
    return this.changes
  }

  /** What other nodes should know of this era; undefined unless an earlier one was known here or to another node. */
  report (now: number): EraReport | undefined {
    return this.eras.report(this.era, now)
  }

  /** Offset from which to read a new era that ends at `next` in order to compare it with the one before, and to find removals that were written since. */
  comparableFrom (next: LogPosition): number {
    const lowest = next.offset - comparedOffsets
    const start = this.eras.sharedEnd(this.era, next.era)
    return Math.min(next.offset, this.history.firstFrom(lowest) ?? Infinity, start >= lowest ? start : Infinity)
  }

  /** Takes what another node knows of eras. */
  learn ({ era, ageMilliseconds, divergences }: EraReport, now: number): readonly KeyedRecord[] {
    this.eras.observeEra(era, now - ageMilliseconds)
    for (const divergence of divergences) this.isLessShared = this.eras.observe(divergence) || this.isLessShared
    return this.compareHeld()
  }

  /** Takes a read; one of an earlier era has no effect. */
  receive (read: MergedRead, now: number): readonly KeyedRecord[] {
    const { next, kind } = read
    if (next.era < this.era) return []
    if (next.era > this.era) this.beginEra(next.era, now)
    this.end = Math.max(this.end, next.offset)
    const annotated = this.annotate(read)
    for (const one of annotated) this.observeDivergence(one, read)
    const changed = annotated.flatMap(one => one.record.era < this.era ? this.applyEarlier(one, now) : this.applyStored(one))
    if (kind === 'everything') changed.push(...this.removeMissing(read))
    return [...changed, ...this.compareHeld()]
  }

  /** Gives up records of earlier eras that were not written again in time; called after each read. */
  giveUpLost (now: number): readonly KeyedRecord[] {
    return [...this.held].flatMap(key => {
      const { earlier, stored } = this.byKey.get(key) ?? {}
      if (earlier === undefined || now < this.heldUntil(stored)) return []
      return this.replaceEarlier(earlier, stored ?? { key, value: undefined, era: this.era, offset: this.end - 1 })
    })
  }

  private beginEra (era: number, now: number): void {
    if (!this.isEmpty) this.eras.observeEra(era, now)
    this.era = era
    this.end = 0
    for (const [key, { earlier, stored }] of this.byKey) {
      const inForce = earlier ?? stored
      if (inForce !== undefined) this.set(key, { earlier: inForce })
    }
  }

  /** Looks up what is known of each record, and remembers it. */
  private annotate ({ records, next, kind, isFromLog }: MergedRead): readonly ReadRecord[] {
    if (kind === 'everything') this.observe(next.era - 1, next.offset)
    const sent = new Map(records.filter(({ era }) => era === next.era).map(({ key, offset }) => [key, offset]))
    const held = new Map(records.flatMap(({ key, era }) => era < next.era ? [[key, sent.get(key)] as const] : []))
    return records.map(record => {
      // Other nodes also pass on removals that they concluded, at an offset that may be that of another record.
      const isExact = isFromLog || record.value !== undefined
      const seenBefore = isExact ? this.history.compare(record) : undefined
      if (isExact) this.history.add(record)
      return { record, seenBefore, heldOffset: held.get(record.key), isComparison: kind === 'comparison' }
    })
  }

  private observeDivergence ({ record, seenBefore }: ReadRecord, { next, kind }: MergedRead): void {
    if (record.era !== next.era) return
    if (seenBefore?.isSame === false) this.observe(seenBefore.era, record.offset)
    const earlier = this.byKey.get(record.key)?.earlier
    if (earlier === undefined) return
    // The newest record of the key is older than one that was there: the log no longer has that one.
    const isReplaced = kind === 'everything' && record.offset < earlier.offset && earlier.offset < next.offset
    if (isReplaced || (record.offset === earlier.offset && !hasSameValue(record, earlier))) this.observe(earlier.era, earlier.offset)
  }

  private observe (after: number, offset: number): void {
    if (this.era > 0 && this.eras.observe({ after, era: this.era, offset })) this.isLessShared = true
  }

  private applyStored ({ record, seenBefore, heldOffset, isComparison }: ReadRecord): readonly KeyedRecord[] {
    const { earlier, stored } = this.byKey.get(record.key) ?? {}
    if (stored !== undefined && stored.offset >= record.offset) return []
    const isKnown = isComparison || seenBefore?.isSame === true || heldOffset === record.offset
    if (earlier !== undefined && (!isKnown || this.eras.isSuperseded(earlier, record))) return this.replaceEarlier(earlier, record)
    this.set(record.key, { earlier, stored: record })
    return earlier === undefined ? [record] : []
  }

  /** Applies a record that another node holds since the log lost it. */
  private applyEarlier ({ record, heldOffset }: ReadRecord, now: number): readonly KeyedRecord[] {
    const { earlier, stored } = this.byKey.get(record.key) ?? {}
    if (this.eras.knownSince(this.era) === undefined) this.eras.observeEra(this.era, now)
    if (now >= this.heldUntil(stored) || (earlier !== undefined && !this.isLater(record, earlier))) return []
    if (stored !== undefined && (heldOffset !== stored.offset || this.eras.isSuperseded(record, stored))) return []
    this.set(record.key, { earlier: record, stored })
    const inForce = earlier ?? stored
    return inForce !== undefined && hasSameValue(inForce, record) ? [] : [record]
  }

  private isLater (record: LogPosition, known: LogPosition): boolean {
    if (record.era === known.era) return record.offset > known.offset
    return record.era < known.era ? !this.eras.isSuperseded(record, known) : this.eras.isSuperseded(known, record)
  }

  /** Removes the keys that this era had and that are not among the newest records of all keys. */
  private removeMissing ({ records, next }: MergedRead): readonly KeyedRecord[] {
    // Another node passes on what the log lost with its earlier era.
    const present = new Set(records.flatMap(({ key, era }) => era === next.era ? [key] : []))
    return [...this.byKey].flatMap(([key, { earlier, stored }]) => {
      if (present.has(key) || stored?.value === undefined || stored.offset >= next.offset) return []
      const removal = { key, value: undefined, era: next.era, offset: next.offset - 1 }
      if (earlier !== undefined) return this.replaceEarlier(earlier, removal)
      this.set(key, { stored: removal })
      return [removal]
    })
  }

  /** Compares the held keys again once less is known to be shared with earlier eras. */
  private compareHeld (): readonly KeyedRecord[] {
    if (!this.isLessShared) return []
    this.isLessShared = false
    this.changes += 1
    return [...this.held].flatMap(key => {
      const { earlier, stored } = this.byKey.get(key) ?? {}
      if (earlier === undefined || stored === undefined || !this.eras.isSuperseded(earlier, stored)) return []
      return this.replaceEarlier(earlier, stored)
    })
  }

  private replaceEarlier (earlier: KeyedRecord, stored: KeyedRecord): readonly KeyedRecord[] {
    this.set(stored.key, { stored })
    return hasSameValue(earlier, stored) ? [] : [stored]
  }

  private heldUntil (stored: KeyedRecord | undefined): number {
    return (this.eras.knownSince(this.era) ?? Infinity) + (stored === undefined ? this.retention.missing : this.retention.older)
  }

  private set (key: string, records: KeyRecords): void {
    this.byKey.set(key, records)
    this.changes += 1
    if (records.earlier === undefined) this.held.delete(key)
    else this.held.add(key)
  }
}

function hasSameValue (left: KeyedRecord, right: KeyedRecord): boolean {
  return left.value === undefined || right.value === undefined ? left.value === right.value : left.value.equals(right.value)
}
