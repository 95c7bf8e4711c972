/** Splits the bytes of an event stream into whole events. */

const lineFeed = 0x0a
const idField = Buffer.from('id:')

/** One whole event with its closing blank line. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Undefined for an event without an id. */
  readonly id: string | undefined
}

/** Collects bytes until an event is whole: an upstream may stop in the middle of one, and a rest would spoil what follows. */
export class EventSplitter {
  private buffered: Buffer = Buffer.alloc(0)

  /** Whether bytes of an event that is not whole are held. */
  get hasPartialEvent (): boolean {
    return this.buffered.length > 0
  }

  /** Takes bytes and returns the events that they complete. */
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
