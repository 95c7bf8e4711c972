/** Clocks, and waits that end at a deadline. */

/** Clock that tests can replace. */
export abstract class Clock {
  /** Current time, epoch milliseconds. */
  abstract now (): number

  /** Deadline that is `milliseconds` from now, epoch milliseconds. */
  after (milliseconds: number): number {
    return this.now() + milliseconds
  }
}

/** Clock of the machine. */
export class SystemClock extends Clock {
  now (): number {
    return Date.now()
  }
}

/** Clock for tests, whose time changes only with `set`. */
export class ManualClock extends Clock {
  constructor (private time = 0) {
    super()
  }

  now (): number {
    return this.time
  }

  /** Sets the current time, epoch milliseconds. */
  set (time: number): void {
    this.time = time
  }
}

/**
 * Milliseconds of a monotonic clock: epoch milliseconds at the start of the process, from then on independent of
 * corrections of the machine's clock. It also advances while the process is paused.
 */
export function monotonicNow (): number {
  return performance.timeOrigin + performance.now()
}

/** Resolves at `deadline`, epoch milliseconds, or when `signal` is aborted. */
export function waitUntil (deadline: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted === true) {
      resolve()
      return
    }
    const finish = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimeout(finish, Math.max(0, deadline - Date.now()))
    signal?.addEventListener('abort', finish, { once: true })
  })
}

/** Resolves at `deadline`, milliseconds of the monotonic clock. */
export function sleepUntil (deadline: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, Math.max(0, deadline - monotonicNow())) })
}

/** Settles as `promise` does, but rejects with the message `problem` if it is pending at `deadline`, epoch milliseconds. */
export function withDeadline<Value> (promise: Promise<Value>, deadline: number, problem: string): Promise<Value> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => { reject(new Error(problem)) }, Math.max(0, deadline - Date.now()))
    promise.then(resolve, reject).finally(() => { clearTimeout(timer) })
  })
}
