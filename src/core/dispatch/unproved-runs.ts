/**
 * Runs of requests that are not proved healthy. An upstream that ends cuts all its connections, which counts against the
 * requests of its runs at once; a cut while others of its runs go on is the loss of one connection. One that goes dark, or
 * ends after a complete error, is known to have ended only once its record is gone. Times are milliseconds of the monotonic
 * clock.
 */

/** A run whose upstream sent nothing for this long when it was found to have ended did not outlive it; one that still sends does. */
const quietMilliseconds = 300
/** Time after which a run that is over says nothing about the end of its upstream, milliseconds: records of ended upstreams lapse within seconds. */
const retentionMilliseconds = 10_000
/** Most runs that are over and remembered for one upstream incarnation, and most ended incarnations remembered. */
const maximumRemembered = { runs: 100, ended: 1000 } as const

/** Time within which the connections of an upstream that ends are cut, milliseconds. */
const cutMilliseconds = 1000

/** What the runs report to. */
export interface EndListener {
  /** Suspects traits of the end of an upstream incarnation, of which the last sign was received `at`. */
  suspectAll (traits: readonly string[], upstream: string, at: number, now: number): void
  /** Suspects traits as a connection to an upstream incarnation was cut; false if so many are that the upstreams may go on. */
  recordEnd (traits: readonly string[], upstream: string, now: number): boolean
}

interface Run {
  traits: readonly string[]
  /** When the last byte of the answer was received; when the request was sent before the first. */
  lastByteAt: number
  isOpen: boolean
  /** When its connection was cut; undefined for a run that is open or was over otherwise. */
  cutAt: number | undefined
}

/** One run in progress. */
export interface TrackedRun {
  /** Records bytes of its answer. */
  recordBytes (now: number): void
  /** From now on an end of its upstream counts against these traits. */
  narrow (traits: readonly string[]): void
  /** Records that it says nothing of an end: it was proved, or never begun. */
  settle (now: number): void
  /** Records that its connection was cut. */
  cut (now: number): void
  /** Records that it is over without a proof. */
  close (now: number): void
}

/** Unproved runs of one entry, by upstream incarnation. */
export class UnprovedRuns {
  private readonly runs = new Map<string, Set<Run>>()
  /** Incarnations whose record is gone. */
  private readonly ended = new Set<string>()

  constructor (private readonly listener: EndListener) {}

  /** Tracks a request that is sent to an upstream incarnation. */
  begin (traits: readonly string[], upstream: string, now: number): TrackedRun {
    const run: Run = { traits, lastByteAt: now, isOpen: true, cutAt: undefined }
    const ofUpstream = this.runs.get(upstream) ?? new Set<Run>()
    ofUpstream.add(run)
    this.runs.set(upstream, ofUpstream)
    return {
      recordBytes: at => { this.recordBytes(run, upstream, at) },
      narrow: suspected => { run.traits = suspected },
      settle: at => {
        this.remove(run, upstream)
        this.judgeCuts(upstream, at)
      },
      cut: at => { this.cut(run, upstream, at) },
      close: at => { this.close(run, upstream, at) }
    }
  }

  /** Records that an upstream incarnation is gone without having said that it leaves. */
  recordEnded (upstream: string, now: number): void {
    this.ended.add(upstream)
    if (this.ended.size > maximumRemembered.ended) this.ended.delete(this.ended.values().next().value ?? '')
    for (const run of [...this.runs.get(upstream) ?? []]) {
      if (run.isOpen && now - run.lastByteAt < quietMilliseconds) continue
      this.suspectAll(run, upstream, now)
    }
  }

  /** Records that an upstream incarnation left as planned: its runs say nothing. */
  recordLeft (upstream: string): void {
    this.runs.delete(upstream)
  }

  /** An upstream that sends bytes has outlived the runs that were over before. */
  private recordBytes (run: Run, upstream: string, now: number): void {
    run.lastByteAt = now
    this.ended.delete(upstream)
    for (const other of this.runs.get(upstream) ?? []) if (!other.isOpen && now - other.lastByteAt > quietMilliseconds) this.remove(other, upstream)
  }

  private close (run: Run, upstream: string, now: number): void {
    if (this.runs.get(upstream)?.has(run) !== true) return
    run.isOpen = false
    if (this.ended.has(upstream)) this.suspectAll(run, upstream, now)
    else this.prune(upstream, now)
    this.judgeCuts(upstream, now)
  }

  private cut (run: Run, upstream: string, now: number): void {
    run.cutAt = now
    this.close(run, upstream, now)
  }

  /** Suspects the requests of the runs that were cut lately once none of the upstream's other runs is open. */
  private judgeCuts (upstream: string, now: number): void {
    const runs = [...this.runs.get(upstream) ?? []]
    if (runs.some(({ isOpen }) => isOpen)) return
    for (const run of runs) {
      if (run.cutAt === undefined || now - run.cutAt > cutMilliseconds) continue
      if (this.listener.recordEnd(run.traits, upstream, now)) this.remove(run, upstream)
    }
  }

  private suspectAll (run: Run, upstream: string, now: number): void {
    this.remove(run, upstream)
    if (now - run.lastByteAt < retentionMilliseconds) this.listener.suspectAll(run.traits, upstream, run.lastByteAt, now)
  }

  private prune (upstream: string, now: number): void {
    const over = [...this.runs.get(upstream) ?? []].filter(({ isOpen }) => !isOpen)
    over.forEach((run, index) => {
      if (index < over.length - maximumRemembered.runs || now - run.lastByteAt > retentionMilliseconds) this.remove(run, upstream)
    })
  }

  private remove (run: Run, upstream: string): void {
    const ofUpstream = this.runs.get(upstream)
    if (ofUpstream?.delete(run) === true && ofUpstream.size === 0) this.runs.delete(upstream)
  }
}
