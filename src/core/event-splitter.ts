/** Splits the bytes of an event stream (SSE) into complete events. */

const lineFeed = 0x0a
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
  private buffered: Buffer = Buffer.alloc(0)

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent (): boolean {
    return this.buffered.length > 0
  }

  /** Adds bytes and returns the events that they complete. */
  push (bytes: Buffer): readonly StreamEvent[] {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes])
    const events: StreamEvent[] = []
    let end = endOfEvent(this.buffered)
    while (end !== -1) {
      const event = this.buffered.subarray(0, end)
      events.push({ bytes: event, id: idOf(event) })
      this.buffered = this.buffered.subarray(end)
      end = endOfEvent(this.buffered)
    }
    return events
  }
}

/** Position after the first blank line, -1 for none; lines end in LF or CRLF. */
function endOfEvent (bytes: Buffer): number {
  let lineStart = 0
  for (let position = bytes.indexOf(lineFeed); position !== -1; position = bytes.indexOf(lineFeed, position + 1)) {
    const length = position - lineStart
    const isBlank = length === 0 || (length === 1 && bytes[lineStart] === 0x0d)
    if (isBlank && lineStart > 0) return position + 1
    lineStart = position + 1
  }
  return -1
}

function idOf (event: Buffer): string | undefined {
  for (const line of event.toString('utf8').split('\n')) {
    if (line.startsWith(idField.toString())) return line.slice(idField.length).trim()
  }
  return undefined
}
