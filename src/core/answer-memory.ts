/**
 * Memory for large answers that are still arriving, or wait for callers that read slowly: many faulty upstreams may send without
 * end at the same time, and callers may not read at all. Load pattern: a burst of large answers must not end the process, and
 * must not cost small answers either.
 */

/** Bytes of one answer that need no room, so that small answers never wait for large ones. */
const freeBytes = 64 << 10
/** Time for which a complete answer may wait for its caller although its room is needed, milliseconds. */
const waitMilliseconds = 1000

/** A complete answer that waits for its caller. */
interface Waiting {
  /** Closes the caller's connection. */
  readonly evict: () => void
  /** Until when it stays in any case, milliseconds of the monotonic clock. */
  readonly until: number
}

/** Room that the answers of one process share. Beyond the limit, answers arrive one at a time, and callers that do not read lose theirs. */
export class AnswerMemory {
  private held = 0
  /** Rooms of answers that arrive and have taken room, the first ones first. */
  private readonly arriving = new Set<AnswerRoom>()
  /** Functions that continue answers whose arrival is paused. */
  private readonly paused = new Map<AnswerRoom, () => void>()
  /** The ones that have waited longest first. */
  private readonly waiting = new Map<AnswerRoom, Waiting>()

  constructor (private readonly maximumBytes: number) {}

  /** Room for one answer; closed by its user. */
  open (): AnswerRoom {
    return new AnswerRoom(this)
  }

  /** Bytes that are taken now. */
  get heldBytes (): number {
    return this.held
  }

  /** Whether so many more bytes may be taken. */
  hasRoomFor (bytes: number): boolean {
    return this.held + bytes <= this.maximumBytes
  }

  /** Changes what `room` has taken; for rooms only. */
  resize (room: AnswerRoom, bytes: number): void {
    this.held += bytes - room.taken
    room.taken = bytes
    if (bytes === 0) this.arriving.delete(room)
  }

  /** Whether an answer that has taken room may go on arriving now; for rooms only. */
  mayArrive (room: AnswerRoom, now: number): boolean {
    this.arriving.add(room)
    this.evict(now)
    const [first] = this.arriving
    return this.held <= this.maximumBytes || room === first
  }

  /** Has `goOn` called when an answer may go on arriving; for rooms only. */
  pause (room: AnswerRoom, goOn: () => void): void {
    this.paused.set(room, goOn)
  }

  /** Adds an answer that waits for its caller; for rooms only. */
  wait (room: AnswerRoom, evict: () => void, now: number): void {
    this.waiting.set(room, { evict, until: now + waitMilliseconds })
    this.evict(now)
  }

  /** Gives back the room of an answer and continues others; for rooms only. */
  release (room: AnswerRoom): void {
    this.resize(room, 0)
    this.paused.delete(room)
    this.waiting.delete(room)
    for (const [next, goOn] of [...this.paused]) {
      const [first] = this.arriving
      if (this.held > this.maximumBytes && next !== first) continue
      this.paused.delete(next)
      goOn()
    }
  }

  /** Evicts answers while room is missing: those that have waited long enough, and any if all of the room is taken by answers that wait. */
  private evict (now: number): void {
    for (const [room, { evict, until }] of [...this.waiting]) {
      const waitingBytes = [...this.waiting.keys()].reduce((sum, { taken }) => sum + taken, 0)
      if (this.held <= this.maximumBytes || (until > now && waitingBytes <= this.maximumBytes)) return
      this.release(room)
      evict()
    }
  }
}

/** Room of one answer, until `close`. */
export class AnswerRoom {
  /** Bytes that are taken; changed by the memory only. */
  taken = 0

  constructor (private readonly memory: AnswerMemory) {}

  /**
   * Takes room for all bytes of an answer that have arrived. Returns whether more may arrive; otherwise `goOn` is called when it
   * may, unless the room is closed before. `now` in milliseconds of the monotonic clock.
   */
  receive (bytes: number, now: number, goOn: () => void): boolean {
    this.memory.resize(this, Math.max(0, bytes - freeBytes))
    if (this.taken === 0 || this.memory.mayArrive(this, now)) return true
    this.memory.pause(this, goOn)
    return false
  }

  /** Takes room for all bytes that are held now, or gives some back; false, without taking any, if there is not enough. */
  hold (bytes: number): boolean {
    const wanted = Math.max(0, bytes - freeBytes)
    if (wanted > this.taken && !this.memory.hasRoomFor(wanted - this.taken)) return false
    this.memory.resize(this, wanted)
    return true
  }

  /** Takes room for a complete answer that waits for its caller; `evict` closes the caller's connection if the room is needed. */
  wait (bytes: number, now: number, evict: () => void): void {
    this.memory.resize(this, Math.max(0, bytes - freeBytes))
    if (this.taken > 0) this.memory.wait(this, evict, now)
  }

  /** Gives the room back. */
  close (): void {
    this.memory.release(this)
  }
}
