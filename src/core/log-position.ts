/** Positions in a stream of the log. The log may come back from an older copy; offsets are then given out again, in a new era. */

/** Place of a record in a stream: a higher era is later whatever the offsets. */
export interface LogPosition {
  /** Rises each time the log comes back from an older copy; 0 for a log that does not tell. */
  readonly era: number
  readonly offset: number
}

/** Before the first record of any era: nothing has been read. */
export const beforeLog: LogPosition = { era: 0, offset: -1 }

/** Whether `left` comes before `right`. */
export function isBefore (left: LogPosition, right: LogPosition): boolean {
  return left.era === right.era ? left.offset < right.offset : left.era < right.era
}

/** The later of two positions; `left` if they are the same. */
export function laterOf (left: LogPosition, right: LogPosition): LogPosition {
  return isBefore(left, right) ? right : left
}

/** Whether two positions are the same. */
export function isSamePosition (left: LogPosition, right: LogPosition): boolean {
  return left.era === right.era && left.offset === right.offset
}

/** Whether anything has been read up to a position. */
export function isInLog ({ offset }: LogPosition): boolean {
  return offset >= 0
}

/** Text of a position for logs, as `era/offset`. */
export function formatPosition ({ era, offset }: LogPosition): string {
  return `${era}/${offset}`
}

/** Whether era and offset are whole numbers from which a read could continue. */
export function isValidPosition ({ era, offset }: LogPosition): boolean {
  return Number.isSafeInteger(era) && era >= 0 && Number.isSafeInteger(offset)
}
