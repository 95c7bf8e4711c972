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
