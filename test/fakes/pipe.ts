/** Link in simulated time: carries one message after another at its rate. */
export class Pipe {
  bytes = 0
  freeAt = 0
  constructor (private readonly bytesPerSecond: number, private readonly delay: number) {}

  carry (bytes: number, from: number): number {
    this.bytes += bytes
    this.freeAt = Math.max(this.freeAt, from) + bytes / this.bytesPerSecond * 1000
    return this.freeAt + this.delay
  }
}

/** Links between data centres and events in simulated time. */
export class ReplayNetwork {
  protected now = 0
  protected timeouts = 0
  private readonly links = new Map<string, Pipe>()
  private longestQueue = 0
  private readonly slow = new Map<string, number>()
  private events: { readonly at: number, readonly run: () => void }[] = []

  constructor (private readonly linkBytesPerSecond: number) {}

  protected get bytesBetween (): number {
    return [...this.links.values()].reduce((sum, { bytes }) => sum + bytes, 0)
  }

  protected get queues (): { readonly longestQueueMilliseconds: number, readonly slowMilliseconds: number } {
    return { longestQueueMilliseconds: Math.round(this.longestQueue), slowMilliseconds: Math.max(0, ...this.slow.values()) }
  }

  protected observeQueues (milliseconds: number): void {
    for (const [name, pipe] of this.links) {
      const queue = pipe.freeAt - this.now
      this.longestQueue = Math.max(this.longestQueue, queue)
      if (queue > 300) this.slow.set(name, (this.slow.get(name) ?? 0) + milliseconds)
    }
  }

  protected link (from: number, to: number): Pipe | undefined {
    if (from === to) return undefined
    const name = `${from}/${to}`
    const known = this.links.get(name) ?? new Pipe(this.linkBytesPerSecond, 2)
    this.links.set(name, known)
    return known
  }

  protected after (at: number, run: () => void): void {
    this.events.push({ at, run })
  }

  protected runDue (): void {
    const due = this.events.filter(({ at }) => at <= this.now).sort((left, right) => left.at - right.at)
    this.events = this.events.filter(({ at }) => at > this.now)
    for (const { run } of due) run()
  }

  /** Carries a chunk through pipes one after another; `end` is called once, with whether it arrived by the deadline. */
  protected deliver (pipes: readonly (Pipe | undefined)[], deadline: number, bytes: number, end: (isStored: boolean) => void): void {
    let isEnded = false
    const finish = (isStored: boolean): void => {
      if (isEnded) return
      isEnded = true
      if (!isStored) this.timeouts += 1
      end(isStored)
    }
    this.after(deadline, () => { finish(false) })
    const [first, ...rest] = pipes.filter(pipe => pipe !== undefined)
    const pass = (pipe: Pipe | undefined, following: readonly Pipe[]): void => {
      if (pipe === undefined) finish(true)
      else this.after(pipe.carry(bytes, this.now), () => { pass(following[0], following.slice(1)) })
    }
    pass(first, rest)
  }
}
