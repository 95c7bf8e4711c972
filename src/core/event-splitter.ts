/** Splits the bytes of an event stream (SSE) into complete events. */

const lineFeed = 0x0a
const carriageReturn = 0x0d
/** First size of the buffer, bytes: some events. */
const initialBytes = 1024
const idField = Buffer.from('id:')

/** Complete event. */
export interface StreamEvent {
  /** Bytes including the closing blank line. */
  readonly bytes: Buffer
  /** Value of the `id` field, undefined without one. */
  readonly id: string | undefined
}

/** Buffers bytes until an event is complete: an upstream may fail within an event, and a forwarded fragment would corrupt the event after it. */
export class EventSplitter {
  /** Bytes without a complete event, in the first `length` of a buffer that doubles when it is full, so that an event of many parts is not copied with each of them. */
  private buffer: Buffer = Buffer.alloc(initialBytes)
  private length = 0
  /** Start of the last line in the buffer. */
  private lineStart = 0
  /** Position up to which line feeds have been searched. */
  private searched = 0

  /** Bytes of an incomplete event that are buffered. */
  get bufferedBytes (): number {
    return this.length
  }

  /** Adds bytes and returns the events that they complete. */
  push (bytes: Buffer): readonly StreamEvent[] {
    this.append(bytes)
    const events: StreamEvent[] = []
    let start = 0
    for (let end = this.endOfEvent(start); end !== -1; end = this.endOfEvent(start)) {
      const event = Buffer.from(this.buffer.subarray(start, end))
      events.push({ bytes: event, id: idOf(event) })
      start = end
    }
    this.drop(start)
    return events
  }

  private append (bytes: Buffer): void {
    const length = this.length + bytes.length
    if (length > this.buffer.length) {
      const larger = Buffer.alloc(Math.max(length, this.buffer.length * 2))
      this.buffer.copy(larger, 0, 0, this.length)
      this.buffer = larger
    }
    bytes.copy(this.buffer, this.length)
    this.length = length
  }

  /** Position after the first blank line of the event that starts at `start`, -1 for none; lines end in LF or CRLF. */
  private endOfEvent (start: number): number {
    const bytes = this.buffer.subarray(0, this.length)
    for (let position = bytes.indexOf(lineFeed, this.searched); position !== -1; position = bytes.indexOf(lineFeed, position + 1)) {
      const lineLength = position - this.lineStart
      const isBlank = lineLength === 0 || (lineLength === 1 && bytes[this.lineStart] === carriageReturn)
      const isEnd = isBlank && this.lineStart > start
      this.lineStart = position + 1
      this.searched = position + 1
      if (isEnd) return position + 1
    }
    this.searched = this.length
    return -1
  }

  /** Drops the first `count` bytes. */
  private drop (count: number): void {
    if (count === 0) return
    this.buffer.copyWithin(0, count, this.length)
    this.length -= count
    this.lineStart -= count
    this.searched -= count
  }
}

/** A comment, or a field of the format. */
const knownLine = /^(?::|(?:id|event|data|retry)(?::|$))/
/** A field that upstreams may add. */
const furtherField = /^[a-z][a-z-]*:/

/** Whether the lines of an event are fields or comments, at least one of them known; the body of an upstream that fails may hold other text. */
export function isEvent ({ bytes }: StreamEvent): boolean {
  const lines = bytes.toString('utf8').split(/\r?\n/).filter(line => line !== '')
  return lines.some(line => knownLine.test(line)) && lines.every(line => knownLine.test(line) || furtherField.test(line))
}

function idOf (event: Buffer): string | undefined {
  for (const line of event.toString('utf8').split('\n')) {
    if (line.startsWith(idField.toString())) return line.slice(idField.length).trim()
  }
  return undefined
}
