/** Memory for answers that are still arriving, or wait for callers that read slowly: many faulty upstreams may send without end at the same time. */

/** Bytes of one answer that need no room, so that small answers never wait for large ones. */
const freeBytes = 64 << 10

/** Room that the answers of one process share. */
export class AnswerMemory {
  private held = 0

  constructor (private readonly maximumBytes: number) {}

  /** Room for the rest of one answer. */
  open (): AnswerRoom {
    return new AnswerRoom(bytes => this.resize(bytes))
  }

  /** Bytes that are taken now. */
  get heldBytes (): number {
    return this.held
  }

  private resize (bytes: number): boolean {
    if (bytes > 0 && this.held + bytes > this.maximumBytes) return false
    this.held += bytes
    return true
  }
}

/** Room of one answer, until `close`. */
export class AnswerRoom {
  private taken = 0

  /** `resize` changes what is taken by some bytes; false if they are not there. */
  constructor (private readonly resize: (bytes: number) => boolean) {}

  /** Takes room for all bytes of the answer that are held now, or gives some back; false if there is not enough. */
  hold (bytes: number): boolean {
    const change = Math.max(0, bytes - freeBytes) - this.taken
    if (!this.resize(change)) return false
    this.taken += change
    return true
  }

  /** Gives the room back. */
  close (): void {
    this.resize(-this.taken)
    this.taken = 0
  }
}
