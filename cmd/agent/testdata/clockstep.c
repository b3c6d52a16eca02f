// clockstep steps the wall clock of the process that it is loaded into with LD_PRELOAD, while the process runs. The file
// named by CLOCKSTEP_FILE contains a 64-bit number of nanoseconds in native byte order, which is added to CLOCK_REALTIME.
// The monotonic clock is unchanged. Go reads clocks through the vDSO and not through the C library, so the vDSO's function
// is patched to jump here: a process may write to its private copy of the vDSO. Linux on amd64 only.
#include <elf.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static const volatile long long *step;

// The Go runtime calls the vDSO on a stack of a few hundred bytes, so this function must not call library functions.
static int stepped_clock_gettime(clockid_t id, struct timespec *ts) {
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(SYS_clock_gettime), "D"(id), "S"(ts) : "rcx", "r11", "memory");
	if (result != 0 || id != CLOCK_REALTIME)
		return result;
	long long nanoseconds = ts->tv_nsec + *step % 1000000000;
	ts->tv_sec += *step / 1000000000;
	if (nanoseconds >= 1000000000) {
		nanoseconds -= 1000000000;
		ts->tv_sec++;
	} else if (nanoseconds < 0) {
		nanoseconds += 1000000000;
		ts->tv_sec--;
	}
	ts->tv_nsec = nanoseconds;
	return 0;
}

static void redirect(char *entry) {
	unsigned char jump[] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; // movabs $target, %rax; jmp *%rax
	void *target = stepped_clock_gettime;
	memcpy(jump + 2, &target, sizeof target);
	char *page = (char *)((unsigned long)entry & ~4095ul);
	if (mprotect(page, 8192, PROT_READ | PROT_WRITE | PROT_EXEC) != 0 && mprotect(page, 4096, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		_exit(97);
	memcpy(entry, jump, sizeof jump);
}

__attribute__((constructor)) static void load(void) {
	const char *path = getenv("CLOCKSTEP_FILE");
	char *image = (char *)getauxval(AT_SYSINFO_EHDR);
	int fd = path ? open(path, O_RDONLY) : -1;
	if (fd < 0 || !image)
		_exit(98);
	step = mmap(NULL, 8, PROT_READ, MAP_SHARED, fd, 0);
	close(fd);
	if (step == MAP_FAILED)
		_exit(99);
	const Elf64_Ehdr *header = (const Elf64_Ehdr *)image;
	const Elf64_Shdr *sections = (const Elf64_Shdr *)(image + header->e_shoff);
	for (int i = 0; i < header->e_shnum; i++) {
		if (sections[i].sh_type != SHT_DYNSYM)
			continue;
		const Elf64_Sym *symbols = (const Elf64_Sym *)(image + sections[i].sh_offset);
		const char *names = image + sections[sections[i].sh_link].sh_offset;
		for (unsigned long j = 0; j < sections[i].sh_size / sizeof *symbols; j++) {
			const char *name = names + symbols[j].st_name;
			if (strcmp(name, "__vdso_clock_gettime") == 0)
				redirect(image + symbols[j].st_value);
		}
	}
}
